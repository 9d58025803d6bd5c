package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP client: one request on a connection of its own. */
final class Http {
    /** {@code status} is 0 if the connection ended without an answer. */
    record Answer(int status, Map<String, String> headers, String body) {}

    private Http() {}

    static Answer call(int port, String method, String uri, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.writeBytes((method + " " + uri + " HTTP/1.1\r\nHost: 127.0.0.1:" + port + "\r\nContent-Length: "
                + body.length + "\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            request.writeBytes(body);
            socket.getOutputStream().write(request.toByteArray());
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return new Answer(0, Map.of(), e.toString());
        }
    }

    private static Answer read(InputStream in) throws IOException {
        String status = line(in);
        Map<String, String> headers = new HashMap<>();
        for (String header; !(header = line(in)).isEmpty();) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Answer(Integer.parseInt(status.split(" ")[1]), headers, new String(body, StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c; (c = in.read()) != '\n';) {
            if (c < 0) {
                throw new IOException("ended without an answer");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
