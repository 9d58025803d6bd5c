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
    private static final int TIMEOUT_MS = 20_000;   // only so that a failure ends
    private final Socket socket;
    private final InputStream in;

    /** Connects. */
    public RespClient(InetSocketAddress to) throws IOException {
        socket = new Socket();
        socket.connect(to, TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** The bytes of a request for one piece of data; {@code wait} in milliseconds. */
    public static String get(String id, String requestClass, int wait, int cell) {
        String fields = "c=" + requestClass + ",t=padrao,d=" + wait + ",volume=v" + cell + ",units=1,shard=" + cell
            + ",hosts=1";
        return "*4\r\n$7\r\nOBJ.GET\r\n$1\r\np\r\n$" + id.length() + "\r\n" + id + "\r\n$" + fields.length() + "\r\n"
            + fields + "\r\n";
    }

    /** Writes this text, a byte a character. */
    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** A read that takes longer than this, in milliseconds, throws. */
    void waitAtMost(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    /** The next line without its end. */
    public String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next; (next = in.read()) != '\n';) {
            if (next < 0) {
                throw new EOFException("ended after '" + line + "'");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** The next answer: its first line, or the value of a bulk string, also of the first one of an array. */
    public String answer() throws IOException {
        String head = line();
        if (head.startsWith("*")) {
            head = line();
        }
        return head.startsWith("$") && !head.equals("$-1") ? line() : head;
    }

    @Override public void close() throws IOException {
        socket.close();
    }
}
