package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Some clients stop in the middle of a CompleteMultipartUpload and stay. A usual client creates uploads and completes them,
 * one after the other.
 */
final class Case10 extends Case {
    private static final int STOPPED_CLIENTS = 60;
    /** A list of parts may have 1 MiB. */
    private static final int ANNOUNCED_BYTES = 1_000_000;
    /** An upload may have 10,000. */
    private static final int PARTS = 9_000;
    private static final int UPLOADS = 20;
    /** The deadline of writes, 3 s, and 256 KiB of body a second; then half a second and 50 ms. */
    private static final int PATIENCE_MS = 3_000 + 4_000 + 550;

    private InetSocketAddress listen;

    Case10() throws IOException {}

    public static void main(String[] arguments) throws Exception {
        main(new Case10(), arguments);
    }

    @Override boolean run() throws Exception {
        ObjectNode node = new ObjectNode((method, uri, head, body, connection) -> {
            Thread.sleep(5);
            boolean create = uri.endsWith("?uploads");
            Record.line("the server runs %s %s with %d bytes", method, uri, body.length);
            return Http.response(200, "Content-Type: application/xml\r\n", (create
                ? "<InitiateMultipartUploadResult><UploadId>upload" + Math.abs(uri.hashCode())
                    + "</UploadId></InitiateMultipartUploadResult>"
                : "<CompleteMultipartUploadResult><ETag>\"1\"</ETag></CompleteMultipartUploadResult>")
                    .getBytes(StandardCharsets.UTF_8));
        });
        int port = Scheduler.freePort();
        listen = new InetSocketAddress("127.0.0.1", port);
        Path config = folder.resolve("objects.json");
        Gateway.write(config, "127.0.0.1:" + port, 1, Gateway.inline(Gateway.endpoint(node.port(), 0, "HEALTHY")), "");
        Scheduler gateway = new Scheduler("gateway", " --config " + config, Map.of(), folder);
        if (!gateway.awaitHttp(listen)) {
            throw new NotRunException("the gateway is not ready");
        }
        Thread.sleep(500);
        int answered = 0;
        int refused = 0;
        int lost = 0;
        List<Socket> stopped = new ArrayList<>();
        for (int i = 0; i < UPLOADS && lost < 5; i++) {
            if (trouble && i == 3) {
                stop(stopped);
                Thread.sleep(300);
            }
            double at = Record.now();
            try {
                int status = upload("/symbols/file-" + i);
                Record.line("upload %d: %d after %.0f ms", i, status, Record.now() - at);
                if (status == 200) {
                    answered++;
                } else {
                    refused++;
                }
            } catch (IOException e) {
                Record.say("upload %d: LOST after %.0f ms: %s", i, Record.now() - at, e);
                lost++;
            }
            Thread.sleep(100);
        }
        Record.say("answered %d, refused %d, lost %d; the gateway %s", answered, refused, lost,
            gateway.isAlive() ? "runs" : "HAS ENDED");
        for (Socket socket : stopped) {
            socket.close();
        }
        return lost == 0 && gateway.isAlive();
    }

    private void stop(List<Socket> stopped) throws IOException {
        for (int i = 0; i < STOPPED_CLIENTS; i++) {
            Socket socket = new Socket();
            socket.connect(listen);
            socket.getOutputStream().write(("POST /symbols/other-" + i + "?uploadId=upload" + i
                + " HTTP/1.1\r\nHost: dumps\r\nContent-Length: " + ANNOUNCED_BYTES + "\r\n\r\n<CompleteMultipartUpload>")
                    .getBytes(StandardCharsets.US_ASCII));
            stopped.add(socket);
        }
        Record.line("%d clients have sent the beginning of a list of parts and stay", STOPPED_CLIENTS);
    }

    /** Creates an upload and completes it; returns the status of the first that is not 200, or 200. */
    private int upload(String path) throws IOException {
        Http.Response created = call(path + "?uploads", "");
        if (created.status() != 200) {
            return created.status();
        }
        String id = created.text().replaceAll(".*<UploadId>(.*)</UploadId>.*", "$1");
        StringBuilder list = new StringBuilder("<CompleteMultipartUpload>");
        for (int part = 1; part <= PARTS; part++) {
            list.append("<Part><PartNumber>").append(part).append("</PartNumber><ETag>\"")
                .append("d41d8cd98f00b204e9800998ecf8427e\"</ETag></Part>");
        }
        return call(path + "?uploadId=" + id, list.append("</CompleteMultipartUpload>").toString()).status();
    }

    private Http.Response call(String uri, String body) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(listen);
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream().write(("POST " + uri + " HTTP/1.1\r\nHost: dumps\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            return Http.readResponse(in);
        }
    }
}
