package kelphollow.program;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A peer whose every byte, close and reset the test says; it does nothing by itself. */
final class ScriptedPeer implements AutoCloseable {
    private static final int GUARD_TIMEOUT_MS = 10_000;   // only so that a failure ends; nothing is proved by waiting
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final List<Connection> lines = new ArrayList<>();

    ScriptedPeer() throws IOException {
        listener.setSoTimeout(GUARD_TIMEOUT_MS);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }

    /** The next connection that the program makes to this peer. */
    Connection accept() throws IOException {
        return keep(new Connection(listener.accept()));
    }

    /** The same if there is one already, else null. On the loopback a dial that was begun is there at once. */
    Connection acceptIfAny() throws IOException {
        listener.setSoTimeout(1);
        try {
            return accept();
        } catch (java.net.SocketTimeoutException none) {
            return null;
        } finally {
            listener.setSoTimeout(GUARD_TIMEOUT_MS);
        }
    }

    /** A connection that this peer makes to the program. */
    Connection connect(InetSocketAddress to) throws IOException {
        return keep(new Connection(new Socket(to.getAddress(), to.getPort())));
    }

    private Connection keep(Connection line) {
        lines.add(line);
        return line;
    }

    /** One connection. */
    static final class Connection {
        final Socket socket;

        private Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(GUARD_TIMEOUT_MS);
            socket.setTcpNoDelay(true);
        }

        Connection send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** Just so many bytes, fewer if the connection ends. */
        String receive(int bytes) throws IOException {
            return new String(socket.getInputStream().readNBytes(bytes), StandardCharsets.ISO_8859_1);
        }

        /** All up to and with this text; what came until then if the connection ends. */
        String until(String end) throws IOException {
            ByteArrayOutputStream got = new ByteArrayOutputStream();
            for (int next; !got.toString(StandardCharsets.ISO_8859_1).endsWith(end)
                && (next = socket.getInputStream().read()) >= 0;) {
                got.write(next);
            }
            return got.toString(StandardCharsets.ISO_8859_1);
        }

        /** Whether the program has closed or reset it, with nothing more sent. */
        boolean hasEnded() throws IOException {
            try {
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketException reset) {
                return true;
            }
        }

        /** Ends the sending only. */
        void shutdown() throws IOException {
            socket.shutdownOutput();
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    @Override public void close() throws IOException {
        listener.close();
        for (Connection line : lines) {
            line.socket.close();
        }
    }
}
