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

/** A peer that sends, closes and resets only when the test calls for it. */
final class ScriptedPeer implements AutoCloseable {
    private static final int GUARD_TIMEOUT_MS = 10_000;   // bounds a failing test; no check depends on waiting this long
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final List<Connection> connections = new ArrayList<>();

    ScriptedPeer() throws IOException {
        listener.setSoTimeout(GUARD_TIMEOUT_MS);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }

    /** Accepts the next connection that the program opens to this peer. */
    Connection accept() throws IOException {
        return track(new Connection(listener.accept()));
    }

    /** Accepts a pending connection, or returns null. On the loopback a started connect is pending at once. */
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

    /** Opens a connection from this peer to the program. */
    Connection connect(InetSocketAddress to) throws IOException {
        return track(new Connection(new Socket(to.getAddress(), to.getPort())));
    }

    private Connection track(Connection connection) {
        connections.add(connection);
        return connection;
    }

    /** A blocking connection whose bytes are exchanged as ISO 8859-1 text. */
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

        /** Reads exactly this many bytes, or fewer if the connection ends. */
        String receive(int bytes) throws IOException {
            return new String(socket.getInputStream().readNBytes(bytes), StandardCharsets.ISO_8859_1);
        }

        /** Reads up to and including this text, or up to the end of the connection. */
        String until(String end) throws IOException {
            ByteArrayOutputStream got = new ByteArrayOutputStream();
            for (int next; !got.toString(StandardCharsets.ISO_8859_1).endsWith(end)
                && (next = socket.getInputStream().read()) >= 0;) {
                got.write(next);
            }
            return got.toString(StandardCharsets.ISO_8859_1);
        }

        /** Returns whether the program closed or reset the connection without sending more; blocks until either. */
        boolean hasEnded() throws IOException {
            try {
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketException reset) {
                return true;
            }
        }

        /** Half-closes: ends the sending direction only. */
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
        for (Connection connection : connections) {
            connection.socket.close();
        }
    }
}
