package kelphollow.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A client that writes commands on one connection as fast as it can, without waiting for replies, and discards what it
 * reads. It does so from its creation until it is closed or its connection ends.
 */
final class FloodingClient implements AutoCloseable {
    /** What the client sends. */
    enum Flood {
        /** {@code PING}. */
        PING,
        /** Commands that do not exist. */
        UNKNOWN_COMMANDS,
        /** Requests, each of another volume, which has no limit. */
        NEW_VOLUMES,
        /** Requests, each of another class, which does not exist. */
        NEW_CLASSES
    }

    private static final int COMMANDS_PER_WRITE = 200;
    private static final int READ_BYTES = 64 * 1024;
    private static final int PATIENCE_MS = 1_200;

    private final Socket socket = new Socket();
    private final Flood flood;
    private final String name;
    private long sent;

    /** {@code name}: part of the ids and names that the client invents. */
    FloodingClient(InetSocketAddress to, Flood flood, String name) throws IOException {
        this.flood = flood;
        this.name = name;
        socket.connect(to);
        SoakThreads.start("flood " + name, this::send);
        SoakThreads.start("flood replies " + name, this::discardReplies);
    }

    private void send() throws IOException {
        while (true) {
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < COMMANDS_PER_WRITE; i++) {
                commands.append(command(name + "-" + sent++));
            }
            socket.getOutputStream().write(commands.toString().getBytes(StandardCharsets.US_ASCII));
        }
    }

    private String command(String id) {
        return switch (flood) {
            case PING -> "*1\r\n$4\r\nPING\r\n";
            case UNKNOWN_COMMANDS -> "*1\r\n$3\r\nNOP\r\n";
            case NEW_VOLUMES -> RespClient.get(id, "dump-read", PATIENCE_MS, 0, new RespClient.VolumeUse("padrao", id, 1,
                1));
            case NEW_CLASSES -> RespClient.get(id, id, PATIENCE_MS, 0);
        };
    }

    private void discardReplies() throws IOException {
        byte[] buffer = new byte[READ_BYTES];
        int read;
        do {
            read = socket.getInputStream().read(buffer);
        } while (read >= 0);
    }

    @Override public void close() throws IOException {
        socket.close();
    }
}
