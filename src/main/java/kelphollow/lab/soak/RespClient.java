package kelphollow.lab.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A blocking client of the platform's protocol on one connection. */
public final class RespClient implements AutoCloseable {
    /** What a request says of its volume: its plan and name, the request's units, and the instances that the volume uses. */
    record VolumeUse(String plan, String volume, int units, int instances) {}

    private static final int TIMEOUT_MS = 20_000;   // ends a test that would otherwise hang
    private final Socket socket;
    private final InputStream in;

    /** Connects to the address. */
    public RespClient(InetSocketAddress to) throws IOException {
        socket = new Socket();
        socket.connect(to, TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Encodes a request for one object; {@code wait} is its deadline in milliseconds. */
    public static String get(String id, String requestClass, int wait, int cell) {
        return get(id, requestClass, wait, cell, new VolumeUse("padrao", "v" + cell, 1, 1));
    }

    /** Encodes a request for the object that has a long value; {@code wait} is its deadline in milliseconds. */
    static String getValue(String id, String requestClass, int wait, int cell, LongValue value) {
        String object = value.object();
        return get(id, requestClass, wait, cell).replaceFirst("\\$1\r\np\r\n", "\\$" + object.length() + "\r\n" + object
            + "\r\n");
    }

    /** Encodes a request of a volume for one object; {@code wait} is its deadline in milliseconds. */
    static String get(String id, String requestClass, int wait, int cell, VolumeUse use) {
        String fields = "c=" + requestClass + ",t=" + use.plan() + ",d=" + wait + ",volume=" + use.volume() + ",units="
            + use.units() + ",shard=" + cell + ",hosts=" + use.instances();
        return "*4\r\n$7\r\nOBJ.GET\r\n$1\r\np\r\n$" + id.length() + "\r\n" + id + "\r\n$" + fields.length() + "\r\n"
            + fields + "\r\n";
    }

    /** Writes the text in ISO 8859-1, one byte per character. */
    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sets the read timeout in milliseconds. */
    void setReadTimeout(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    /** Reads the next line, without its line ending. */
    public String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next; (next = in.read()) != '\n';) {
            if (next < 0) {
                throw new EOFException("connection ended after '" + line + "'");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the next reply: its first line, or the value of a bulk string, alone or as the first element of an array. */
    public String answer() throws IOException {
        String head = line();
        if (head.startsWith("*")) {
            head = line();
        }
        return head.startsWith("$") && !head.equals("$-1") ? line() : head;
    }

    /** Reads the bytes of a bulk string whose header was read, and its line ending. */
    byte[] value(int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length || !line().isEmpty()) {
            throw new EOFException("connection ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    @Override public void close() throws IOException {
        socket.close();
    }
}
