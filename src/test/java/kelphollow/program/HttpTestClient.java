package kelphollow.program;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A client of the object API on one connection that also reports truncated responses. */
final class HttpTestClient implements AutoCloseable {
    record Response(int status, Map<String, String> headers, byte[] body, boolean complete) {
        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    final Socket socket;

    HttpTestClient(InetSocketAddress gateway) throws IOException {
        socket = new Socket(gateway.getAddress(), gateway.getPort());
        socket.setSoTimeout(3_000);   // bounds a failing test
    }

    HttpTestClient send(String line, String headers, byte[] body) throws IOException {
        head(line, headers, body == null ? -1 : body.length);
        if (body != null) {
            socket.getOutputStream().write(body);
        }
        return this;
    }

    void head(String line, String headers, long length) throws IOException {
        socket.getOutputStream().write(bytes(line, headers, length));
    }

    private static byte[] bytes(String line, String headers, long length) {
        return (line + " HTTP/1.1\r\nHost: h\r\n" + headers
            + (length < 0 ? "" : "Content-Length: " + length + "\r\n") + "\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** Sends head and body in one write, so that they arrive in one read, as happens on a busy machine. */
    Response callInOneWrite(String line, byte[] body) throws IOException {
        ByteArrayOutputStream both = new ByteArrayOutputStream();
        both.writeBytes(bytes(line, "", body.length));
        both.writeBytes(body);
        socket.getOutputStream().write(both.toByteArray());
        return readResponse();
    }

    Response call(String line, String headers, byte[] body) throws IOException {
        return send(line, headers, body).readResponse(line.startsWith("HEAD"));
    }

    Response readResponse() throws IOException {
        return readResponse(false);
    }

    private Response readResponse(boolean withoutBody) throws IOException {
        InputStream in = socket.getInputStream();
        String status = line(in);
        if (status == null) {
            return new Response(0, Map.of(), new byte[0], false);
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String header; (header = line(in)) != null && !header.isEmpty();) {
            headers.put(header.substring(0, header.indexOf(':')), header.substring(header.indexOf(':') + 1).strip());
        }
        int code = Integer.parseInt(status.split(" ")[1]);
        if (code == 100) {
            return readResponse(withoutBody);
        }
        int length = withoutBody || code == 204 ? 0 : Integer.parseInt(headers.get("Content-Length"));
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            while (body.size() < length) {
                byte[] some = in.readNBytes(Math.min(65536, length - body.size()));
                body.write(some);
                if (some.length == 0) {
                    break;
                }
            }
        } catch (java.net.SocketException reset) {
            // reported as an incomplete response
        }
        return new Response(code, headers, body.toByteArray(), body.size() == length);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c; (c = in.read()) >= 0;) {
            if (c == '\n') {
                return line.toString().strip();
            }
            line.append((char) c);
        }
        return null;
    }

    @Override public void close() throws IOException {
        socket.close();
    }
}
