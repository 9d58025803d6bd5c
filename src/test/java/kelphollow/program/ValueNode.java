package kelphollow.program;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in for a storage node of the platform: answers each command with a value of one length, or never. */
final class ValueNode implements AutoCloseable {
    private static final int BACKLOG = 200;

    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    private final Queue<Socket> connections = new ConcurrentLinkedQueue<>();
    private final byte[] reply;
    private final AtomicInteger answered = new AtomicInteger();

    private ValueNode(byte[] reply) throws IOException {
        this.reply = reply;
        startThread(this::acceptAll);
    }

    /** A node that answers each command with a value of {@code length} bytes. */
    static ValueNode answering(int length) throws IOException {
        String text = "*3\r\n$" + length + "\r\n" + "v".repeat(length) + "\r\n$-1\r\n$-1\r\n";
        return new ValueNode(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** A node that takes commands and answers none. */
    static ValueNode hanging() throws IOException {
        return new ValueNode(null);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }

    /** How many commands have been answered. */
    int answered() {
        return answered.get();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.add(socket);
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The node is closed.
        }
    }

    private void serve(Socket socket) {
        try (socket; DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()))) {
            while (readCommand(in)) {
                if (reply != null) {
                    socket.getOutputStream().write(reply);
                    answered.incrementAndGet();
                }
            }
        } catch (IOException e) {
            // The program gave the command up.
        }
    }

    /** Reads an array of bulk strings; returns false at the end of the connection. */
    private static boolean readCommand(DataInputStream in) throws IOException {
        int elements = readLength(in);
        for (int i = 0; i < elements; i++) {
            in.skipNBytes(readLength(in) + 2L);
        }
        return elements >= 0;
    }

    /** Reads a line such as {@code $12}; returns -1 at the end of the connection. */
    private static int readLength(DataInputStream in) throws IOException {
        if (in.read() < 0) {
            return -1;
        }
        int length = 0;
        for (int digit; (digit = in.read()) >= '0';) {
            length = length * 10 + digit - '0';
        }
        in.skipNBytes(1);
        return length;
    }

    @Override public void close() throws IOException {
        listener.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
