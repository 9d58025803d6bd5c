package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in object server, a process of its own: S3's multipart uploads. A part takes some work after its last byte, and is
 * listed once that work is done. Work that has begun goes on when its connection ends. Prints one line for each step.
 * Arguments: the milliseconds of work of a part.
 */
final class ObjectNode {
    private static final int STEP_MS = 10;

    private record Part(int size, String etag) {}

    private final int workMs;
    private final Map<String, TreeMap<Integer, Part>> uploads = new HashMap<>();
    private int created;

    private ObjectNode(int workMs) {
        this.workMs = workMs;
    }

    public static void main(String[] arguments) throws Exception {
        ObjectNode node = new ObjectNode(Integer.parseInt(arguments[0]));
        ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        System.out.println("port " + listener.getLocalPort());
        Threads.start("parent", () -> {
            while (System.in.read() >= 0) {
                // until the parent ends
            }
            System.exit(0);
        });
        while (true) {
            Socket socket = listener.accept();
            Threads.start("connection", () -> node.serve(socket));
        }
    }

    private static synchronized void say(String line) {
        System.out.println(line);
        System.out.flush();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (String request; (request = line(in)) != null;) {
                Map<String, String> headers = new HashMap<>();
                for (String header; (header = line(in)) != null && !header.isEmpty();) {
                    int colon = header.indexOf(':');
                    headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
                }
                if ("100-continue".equals(headers.get("expect"))) {
                    out.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                }
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                byte[] body = in.readNBytes(length);
                if (body.length < length) {
                    return;
                }
                String[] words = request.split(" ");
                out.write(answer(words[0], words[1], body));
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c; (c = in.read()) >= 0;) {
            if (c == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(c);
        }
        return null;
    }

    private static byte[] response(String status, String headers, String body) {
        return ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String parameter(String uri, String name) {
        Matcher matcher = Pattern.compile("[?&]" + name + "=([^&]+)").matcher(uri);
        return matcher.find() ? matcher.group(1) : null;
    }

    private byte[] answer(String method, String uri, byte[] body) throws Exception {
        String upload = parameter(uri, "uploadId");
        String number = parameter(uri, "partNumber");
        if (method.equals("POST") && upload == null) {
            return create();
        }
        if (method.equals("PUT") && upload != null && number != null) {
            return put(upload, Integer.parseInt(number), body);
        }
        if (method.equals("GET") && upload != null) {
            return list(upload, uri);
        }
        say("other " + method + " " + uri);
        return response("501 Not Implemented", "", "");
    }

    private synchronized byte[] create() {
        String upload = "u" + ++created;
        uploads.put(upload, new TreeMap<>());
        say("created " + upload);
        return response("200 OK", "Content-Type: application/xml\r\n",
            "<InitiateMultipartUploadResult><UploadId>" + upload + "</UploadId></InitiateMultipartUploadResult>");
    }

    private byte[] put(String upload, int number, byte[] body) throws Exception {
        say("begun " + upload + "#" + number);
        for (int done = 0; done < workMs; done += STEP_MS) {
            Thread.sleep(STEP_MS);
        }
        String etag = HexFormat.of().formatHex(MessageDigest.getInstance("MD5").digest(body));
        synchronized (this) {
            uploads.get(upload).put(number, new Part(body.length, etag));
        }
        say("stored " + upload + "#" + number + " " + etag);
        return response("200 OK", "ETag: \"" + etag + "\"\r\n", "");
    }

    private synchronized byte[] list(String upload, String uri) {
        String marker = parameter(uri, "part-number-marker");
        StringBuilder xml = new StringBuilder("<ListPartsResult><UploadId>" + upload + "</UploadId>");
        StringBuilder names = new StringBuilder();
        uploads.get(upload).tailMap(marker == null ? 0 : Integer.parseInt(marker), false).forEach((number, part) -> {
            names.append(' ').append(number);
            xml.append("<Part><PartNumber>").append(number).append("</PartNumber><ETag>&quot;").append(part.etag)
                .append("&quot;</ETag><Size>").append(part.size).append("</Size></Part>");
        });
        say("listed " + upload + " after " + marker + ":" + names);
        return response("200 OK", "Content-Type: application/xml\r\n", xml.append("</ListPartsResult>").toString());
    }
}
