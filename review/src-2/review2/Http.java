package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Plain HTTP/1.1 messages, as clients and object servers send them. */
final class Http {
    /** A head; {@code first} is its first line, names of fields are in lower case. */
    record Head(String first, Map<String, String> fields) {
        String field(String name) {
            return fields.get(name);
        }

        long length() {
            String length = fields.get("content-length");
            return length == null ? -1 : Long.parseLong(length);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** A whole response. */
    record Response(Head head, byte[] body) {
        int status() {
            return head.status();
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    /** Reads a head; null if the connection ended before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        String line;
        while ((line = line(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        if (line == null) {
            throw new EOFException("half a head");
        }
        return new Head(first, fields);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next;
        while ((next = in.read()) >= 0) {
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        if (line.length() > 0) {
            throw new EOFException("half a line");
        }
        return null;
    }

    static byte[] readBody(InputStream in, long length) throws IOException {
        byte[] body = in.readNBytes((int) length);
        if (body.length < length) {
            throw new EOFException("body ended after " + body.length + " of " + length + " bytes");
        }
        return body;
    }

    /** Reads a whole final response; throws EOFException if it is cut off. */
    static Response readResponse(InputStream in) throws IOException {
        Head head;
        do {
            head = readHead(in);
            if (head == null) {
                throw new EOFException("closed without a response");
            }
        } while (head.status() < 200);
        if (head.length() >= 0) {
            return new Response(head, readBody(in, head.length()));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equals(head.field("transfer-encoding"))) {
            while (true) {
                int size = Integer.parseInt(line(in).strip(), 16);
                body.writeBytes(readBody(in, size));
                line(in);
                if (size == 0) {
                    return new Response(head, body.toByteArray());
                }
            }
        }
        return new Response(head, new byte[0]);
    }

    static byte[] response(int status, String fields, byte[] body) {
        byte[] head = ("HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }
}
