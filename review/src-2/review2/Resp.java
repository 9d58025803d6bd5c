package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** RESP2 as the protocol page has it: commands, and answers of storage nodes and schedulers. */
final class Resp {
    private Resp() {}

    static byte[] command(String... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("*" + words.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
        for (String word : words) {
            byte[] bytes = word.getBytes(StandardCharsets.ISO_8859_1);
            out.writeBytes(("$" + bytes.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.writeBytes(bytes);
            out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        return out.toByteArray();
    }

    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException();
            }
            if (next == '\r') {
                in.read();
                return line.toString();
            }
            line.append((char) next);
        }
    }

    /** Reads a command; null at the end of the connection. */
    static String[] readCommand(InputStream in) throws IOException {
        String head;
        try {
            head = line(in);
        } catch (EOFException e) {
            return null;
        }
        String[] words = new String[Integer.parseInt(head.substring(1))];
        for (int i = 0; i < words.length; i++) {
            words[i] = bulk(in, line(in));
        }
        return words;
    }

    private static String bulk(InputStream in, String head) throws IOException {
        int length = Integer.parseInt(head.substring(1));
        if (length < 0) {
            return null;
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException();
        }
        in.read();
        in.read();
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** Reads an answer of a scheduler: an error line as it is, else "+" or "$" and the value. */
    static String readAnswer(InputStream in) throws IOException {
        String head = line(in);
        return switch (head.charAt(0)) {
            case '$' -> "$" + bulk(in, head);
            default -> head;
        };
    }

    /** The value of a field such as {@code d} in the fourth word of a command. */
    static String field(String fields, String name) {
        for (String field : fields.split(",")) {
            if (field.startsWith(name + "=")) {
                return field.substring(name.length() + 1);
            }
        }
        return null;
    }
}
