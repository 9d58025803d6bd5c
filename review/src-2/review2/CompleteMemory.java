package review2;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Clients that stop in the middle of a CompleteMultipartUpload, beside a usual one. */
final class CompleteMemory {
    private static final int STALLED = Integer.getInteger("stalled", 80);
    private static final int PARTS = Integer.getInteger("parts", 3000);
    private static final int LENGTH = Integer.getInteger("length", 1_000_000);

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record.open(Path.of(arguments[0]));
        Path folder = Files.createTempDirectory("review");
        ObjectNode node = new ObjectNode((method, uri, head, body, connection) -> {
            Thread.sleep(5);
            String text = uri.endsWith("?uploads")
                ? "<InitiateMultipartUploadResult><UploadId>u" + uri.hashCode() + "</UploadId></InitiateMultipartUploadResult>"
                : "<CompleteMultipartUploadResult><ETag>x</ETag></CompleteMultipartUploadResult>";
            Record.line("node ran %s %s, %d bytes", method, uri, body.length);
            return Http.response(200, "Content-Type: application/xml\r\n", text.getBytes(StandardCharsets.UTF_8));
        });
        int port = Scheduler.freePort();
        InetSocketAddress listen = new InetSocketAddress("127.0.0.1", port);
        Path config = folder.resolve("objects.json");
        Gateway.write(config, "127.0.0.1:" + port, 1, Gateway.inline(Gateway.endpoint(node.port(), 0, "HEALTHY")), "");
        Scheduler scheduler = new Scheduler("gateway", " --config " + config, Map.of(), folder);
        if (!scheduler.awaitHttp(listen)) {
            System.exit(2);
        }
        List<Socket> stalled = new ArrayList<>();
        int served = 0, busy = 0, lost = 0;
        for (int i = 0; i < 60; i++) {
            if (trouble && i >= 20 && stalled.size() < STALLED) {
                for (int k = 0; k < 20; k++) {
                    Socket socket = new Socket();
                    socket.connect(listen);
                    socket.getOutputStream().write(("POST /crash-dumps/dump-" + stalled.size()
                        + "?uploadId=u" + stalled.size() + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + LENGTH
                        + "\r\n\r\n<Com").getBytes(StandardCharsets.US_ASCII));
                    stalled.add(socket);
                }
            }
            double at = Record.now();
            try (Socket socket = new Socket()) {
                socket.connect(listen, 2000);
                socket.setSoTimeout(4000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                socket.getOutputStream().write(("POST /crash-dumps/o" + i + "?uploads HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
                Http.Response response = Http.readResponse(in);
                Record.line("CREATE %d: %d after %.0f ms", i, response.status(), Record.now() - at);
                if (response.status() != 200) {
                    busy++;
                    continue;
                }
                String id = response.text().replaceAll(".*<UploadId>(.*)</UploadId>.*", "$1");
                StringBuilder doc = new StringBuilder("<CompleteMultipartUpload>");
                for (int part = 1; part <= PARTS; part++) {
                    doc.append("<Part><PartNumber>").append(part).append("</PartNumber><ETag>\"d41d8cd98f00b204e9800998ecf8427e\"</ETag></Part>");
                }
                doc.append("</CompleteMultipartUpload>");
                socket.getOutputStream().write(("POST /crash-dumps/o" + i + "?uploadId=" + id + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
                    + doc.length() + "\r\n\r\n" + doc).getBytes(StandardCharsets.US_ASCII));
                response = Http.readResponse(in);
                Record.line("COMPLETE %d: %d after %.0f ms", i, response.status(), Record.now() - at);
                if (response.status() == 200) {
                    served++;
                } else {
                    busy++;
                }
            } catch (Exception e) {
                Record.line("COMPLETE %d: LOST, %s after %.0f ms", i, e, Record.now() - at);
                lost++;
            }
            Thread.sleep(30);
        }
        Record.say("served %d, refused %d, lost %d, alive %b", served, busy, lost, scheduler.isAlive());
        scheduler.kill();
        Files.copy(scheduler.log, Path.of(arguments[0]).resolveSibling("scheduler.log"),
            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        System.exit(lost > 0 ? 1 : 0);
    }
}
