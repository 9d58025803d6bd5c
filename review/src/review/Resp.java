package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** RESP2 as the protocol page describes it. */
final class Resp {
    private Resp() {}

    /** Encodes a command as an array of bulk strings. */
    static byte[] command(Object... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        text(out, "*" + words.length + "\r\n");
        for (Object word : words) {
            byte[] bytes = word instanceof byte[] b ? b : word.toString().getBytes(StandardCharsets.UTF_8);
            text(out, "$" + bytes.length + "\r\n");
            out.writeBytes(bytes);
            text(out, "\r\n");
        }
        return out.toByteArray();
    }

    /** Encodes a storage node's answer: the value, no figures on use, and a load report. */
    static byte[] served(byte[] value, int inflight) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        text(out, "*3\r\n$" + value.length + "\r\n");
        out.writeBytes(value);
        String report = "inflight=" + inflight;
        text(out, "\r\n$-1\r\n$" + report.length() + "\r\n" + report + "\r\n");
        return out.toByteArray();
    }

    private static void text(ByteArrayOutputStream out, String text) {
        out.writeBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads one command, or returns null at the end of the stream. */
    static List<byte[]> readCommand(InputStream in) throws IOException {
        String head = line(in);
        if (head == null) {
            return null;
        }
        if (!head.startsWith("*")) {
            throw new IOException("not a command: " + head);
        }
        List<byte[]> words = new ArrayList<>();
        for (int i = Integer.parseInt(head.substring(1)); i > 0; i--) {
            words.add(bulk(in, line(in)));
        }
        return words;
    }

    /** Reads one answer: an error or simple string with its sign, a bulk string's bytes as text, or null at the end. */
    static String readAnswer(InputStream in) throws IOException {
        String head = line(in);
        if (head == null) {
            return null;
        }
        if (head.startsWith("$")) {
            byte[] value = bulk(in, head);
            return value == null ? "$-1" : "$" + new String(value, StandardCharsets.ISO_8859_1);
        }
        if (head.startsWith("*")) {
            StringBuilder all = new StringBuilder("*");
            for (int i = Integer.parseInt(head.substring(1)); i > 0; i--) {
                all.append(readAnswer(in));
            }
            return all.toString();
        }
        return head;
    }

    private static byte[] bulk(InputStream in, String head) throws IOException {
        if (head == null || !head.startsWith("$")) {
            throw new EOFException("no bulk string: " + head);
        }
        int length = Integer.parseInt(head.substring(1));
        if (length < 0) {
            return null;
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length || in.read() < 0 || in.read() < 0) {
            throw new EOFException("the bulk string is cut off");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c; (c = in.read()) >= 0;) {
            if (c == '\n') {
                return line.substring(0, line.length() - 1);
            }
            line.append((char) c);
        }
        if (line.length() > 0) {
            throw new EOFException("the line is cut off: " + line);
        }
        return null;
    }
}
