package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One object server of six hangs in the middle of storing the last part of an upload. For a while it turns other writes away, then it
 * serves them; the one that hangs goes on later. The client wants to give the upload up and is turned away, so it goes on with
 * the upload and sends the part again.
 */
final class Case8 extends Case {
    /** So long the write hangs. */
    private static final int HANG_MS = 9_000;
    /** So long other writes are turned away. */
    private static final int BUSY_MS = 3_600;
    /** For so long after its start the gateway distrusts what it does not know; see docs/design/DATA-PATH.md. */
    private static final int GATEWAY_AGE_MS = 32_000;
    /** For a look only: leaves the client's abort out. */
    private static final boolean ABORTS = !Boolean.getBoolean("review.no.abort");

    /** An upload at the server. */
    private static final class Upload {
        final Map<Integer, byte[]> parts = new TreeMap<>();
        final Map<Integer, Integer> stored = new TreeMap<>();
    }

    private final Map<String, Upload> uploads = new ConcurrentHashMap<>();
    private final AtomicInteger created = new AtomicInteger();
    private volatile String hangsAt;
    private static final int SERVERS = 6;
    /** By server, until when it turns writes away. */
    private final double[] busyUntil = new double[SERVERS];
    private InetSocketAddress listen;

    Case8() throws IOException {}

    public static void main(String[] arguments) throws Exception {
        main(Case8::new, arguments);
    }

    // ---------------------------------------------------------------- the server

    private static String parameter(String uri, String name) {
        for (String field : uri.substring(uri.indexOf('?') + 1).split("&")) {
            if (field.startsWith(name + "=")) {
                return field.substring(name.length() + 1);
            }
        }
        return "";
    }

    private static byte[] xml(String text) {
        return Http.response(200, "Content-Type: application/xml\r\n", text.getBytes(StandardCharsets.UTF_8));
    }

    private byte[] answer(int server, String method, String uri, byte[] body) throws Exception {
        Thread.sleep(5);
        synchronized (busyUntil) {
            if (!method.equals("GET") && Record.now() < busyUntil[server]) {
                Record.line("server %d turns %s %s away: 503", server, method, uri);
                return Http.response(503, "", new byte[0]);
            }
        }
        if (uri.endsWith("?uploads")) {
            String id = "u" + created.incrementAndGet();
            uploads.put(id, new Upload());
            return xml("<InitiateMultipartUploadResult><UploadId>" + id + "</UploadId></InitiateMultipartUploadResult>");
        }
        String id = parameter(uri, "uploadId");
        Upload upload = uploads.get(id);
        if (upload == null) {
            return Http.response(404, "", "<Error><Code>NoSuchUpload</Code></Error>".getBytes(StandardCharsets.UTF_8));
        }
        return switch (method) {
            case "GET" -> list(upload, uri);
            case "PUT" -> store(server, id, upload, Integer.parseInt(parameter(uri, "partNumber")), body);
            case "DELETE" -> {
                uploads.remove(id);
                Record.line("the server aborts %s", id);
                yield Http.response(204, "", new byte[0]);
            }
            default -> {
                uploads.remove(id);
                Record.line("the server completes %s", id);
                yield xml("<CompleteMultipartUploadResult><ETag>\"1\"</ETag></CompleteMultipartUploadResult>");
            }
        };
    }

    private byte[] list(Upload upload, String uri) throws Exception {
        String marker = parameter(uri, "part-number-marker");
        int after = marker.isEmpty() ? 0 : Integer.parseInt(marker);
        StringBuilder text = new StringBuilder("<ListPartsResult>");
        synchronized (upload) {
            for (Map.Entry<Integer, byte[]> part : upload.parts.entrySet()) {
                if (part.getKey() > after) {
                    text.append("<Part><PartNumber>").append(part.getKey()).append("</PartNumber><ETag>")
                        .append(tag(part.getValue())).append("</ETag><Size>").append(part.getValue().length)
                        .append("</Size></Part>");
                }
            }
            Record.line("the server lists parts: %s", upload.parts.keySet());
        }
        return xml(text.append("</ListPartsResult>").toString());
    }

    private byte[] store(int server, String id, Upload upload, int part, byte[] body) throws Exception {
        if ((id + "#" + part).equals(hangsAt)) {
            hangsAt = null;
            synchronized (busyUntil) {
                busyUntil[server] = Record.now() + BUSY_MS;
            }
            Record.line("server %d has read part %d of %s and hangs", server, part, id);
            Thread.sleep(HANG_MS);
        }
        synchronized (upload) {
            upload.parts.put(part, body);
            int times = upload.stored.merge(part, 1, Integer::sum);
            Record.line("server %d stores part %d of %s, time %d", server, part, id, times);
        }
        return Http.response(200, "ETag: " + tag(body) + "\r\n", new byte[0]);
    }

    private static String tag(byte[] body) throws Exception {
        return "\"" + HexFormat.of().formatHex(MessageDigest.getInstance("MD5").digest(body)) + "\"";
    }

    // ---------------------------------------------------------------- the client

    @Override boolean run() throws Exception {
        String[] endpoints = new String[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            int server = i;
            ObjectNode node = new ObjectNode((method, uri, head, body, connection) -> answer(server, method, uri, body));
            endpoints[i] = Gateway.endpoint(node.port(), i, "HEALTHY");
        }
        int port = Scheduler.freePort();
        listen = new InetSocketAddress("127.0.0.1", port);
        Path config = folder.resolve("objects.json");
        Gateway.write(config, "127.0.0.1:" + port, SERVERS, Gateway.inline(endpoints), "");
        Scheduler gateway = new Scheduler("gateway", " --config " + config, Map.of(), folder);
        if (!gateway.awaitHttp(listen)) {
            throw new NotRunException("the gateway is not ready");
        }
        Thread.sleep(GATEWAY_AGE_MS);
        String path = "/symbols/lib.sym";
        Http.Response begun = call("POST", path + "?uploads", "");
        if (begun.status() != 200) {
            throw new NotRunException("no upload was created");
        }
        String id = begun.text().replaceAll(".*<UploadId>(.*)</UploadId>.*", "$1");
        Upload upload = uploads.get(id);
        if (call("PUT", path + "?partNumber=1&uploadId=" + id, "first part").status() != 200) {
            throw new NotRunException("the first part was not stored");
        }
        if (trouble) {
            hangsAt = id + "#2";
        }
        String last = path + "?partNumber=2&uploadId=" + id;
        double start = Record.now();
        int status = call("PUT", last, "last part").status();
        if (status != 200 && ABORTS) {
            int aborted = call("DELETE", path + "?uploadId=" + id, "").status();
            if (aborted / 100 == 2 || aborted == 404) {
                throw new NotRunException("the upload was aborted");
            }
            Record.line("the upload was not aborted, so the client goes on with it");
        }
        while (status != 200 && Record.now() < start + 45_000) {
            Thread.sleep(1_000);
            status = call("PUT", last, "last part").status();
        }
        Thread.sleep((long) Math.max(0, start + HANG_MS + 1_000 - Record.now()));
        boolean held = true;
        synchronized (upload) {
            Record.say("the last part was answered %d; parts by the times that they were stored: %s", status, upload.stored);
            for (int times : upload.stored.values()) {
                held &= times <= 1;
            }
        }
        int complete = call("POST", path + "?uploadId=" + id, "<CompleteMultipartUpload/>").status();
        Record.line("the completion was answered %d", complete);
        return held;
    }

    private Http.Response call(String method, String uri, String body) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(listen);
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write((method + " " + uri + " HTTP/1.1\r\nHost: dumps\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Response response = Http.readResponse(in);
            Record.line("client: %s %s: %d", method, uri, response.status());
            return response;
        }
    }
}
