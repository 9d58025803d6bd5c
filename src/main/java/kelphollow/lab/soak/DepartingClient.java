package kelphollow.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import kelphollow.lab.soak.SoakHistory.Outcome;
import kelphollow.lab.soak.SoakHistory.RequestEnded;
import kelphollow.lab.soak.SoakHistory.RequestSent;

/**
 * A client that sends requests on one connection, then as much further input as the socket takes, and closes the connection
 * while much of it is unread. Reads no replies, or discards them. Not thread-safe.
 */
final class DepartingClient implements AutoCloseable {
    /** What the client sends behind its requests. */
    enum Input {
        /** {@code PING}. */
        PINGS("*1\r\n$4\r\nPING\r\n"),
        /** Commands that do not exist. */
        UNKNOWN_COMMANDS("*1\r\n$3\r\nNOP\r\n"),
        /** Requests of a class that does not exist, about as long as usual ones. */
        UNKNOWN_CLASSES(RespClient.get("unknown", "no-such-class", PATIENCE_MS, 0)),
        /** Commands of almost the longest size that do not exist. */
        LONG_COMMANDS("*2\r\n$3\r\nNOP\r\n$" + LONG_WORD_BYTES + "\r\n" + "x".repeat(LONG_WORD_BYTES) + "\r\n");

        private final String command;

        Input(String command) {
            this.command = command;
        }

        private ByteBuffer block() {
            return ByteBuffer.wrap(command.repeat(1 + BLOCK_BYTES / command.length()).getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** How long the client would wait for its answers, the longest that the settings of the soak have. */
    static final int PATIENCE_MS = 5_000;
    private static final int LONG_WORD_BYTES = 60_000;
    private static final int BLOCK_BYTES = 64 * 1024;
    private static final int SEND_BUFFER_BYTES = 1024 * 1024;
    private static final int POLL_MS = 1;
    private static final String REQUEST_CLASS = "dump-export";

    private final SoakHistory history;
    private final int instance;
    private final String name;
    private final boolean readsReplies;
    private final SocketChannel channel;
    private final ByteBuffer replies = ByteBuffer.allocate(BLOCK_BYTES);
    private int requests;

    /**
     * Connects the client.
     *
     * @param instance the number of the instance at {@code address}, for the history
     * @param name the beginning of its requests' ids
     */
    DepartingClient(SoakHistory history, int instance, InetSocketAddress address, String name, boolean readsReplies)
        throws IOException {
        this.history = history;
        this.instance = instance;
        this.name = name;
        this.readsReplies = readsReplies;
        channel = SocketChannel.open(address);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES);
    }

    /** Sends requests that may be repeated, one for each of the cells in turn. */
    void request(int count, int cells) throws IOException {
        StringBuilder commands = new StringBuilder();
        int first = requests;
        for (; requests < first + count; requests++) {
            commands.append(RespClient.get(id(requests), REQUEST_CLASS, PATIENCE_MS, requests % cells));
        }
        send(commands.toString());
        double now = history.now();
        for (int i = first; i < requests; i++) {
            history.add(new RequestSent(now, id(i), instance, false, PATIENCE_MS));
        }
    }

    /** Sends commands that are not recorded; before {@link #sendFor}. */
    void send(String commands) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(commands.getBytes(StandardCharsets.US_ASCII));
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    private String id(int request) {
        return name + "q" + request;
    }

    /** Sends input for some milliseconds, as fast as the socket takes it. Returns the number of bytes. */
    long sendFor(int millis, Input input) throws IOException, InterruptedException {
        channel.configureBlocking(false);
        ByteBuffer block = input.block();
        double until = history.now() + millis;
        long sent = 0;
        while (history.now() < until) {
            int written = channel.write(block);
            sent += written;
            if (!block.hasRemaining()) {
                block.rewind();
            }
            discardReplies();
            if (written == 0) {
                Thread.sleep(POLL_MS);
            }
        }
        return sent;
    }

    private void discardReplies() throws IOException {
        if (readsReplies) {
            replies.clear();
            channel.read(replies);
        }
    }

    /** Closes the connection and returns when. */
    double leave() throws IOException {
        channel.configureBlocking(false);
        discardReplies();                  // a close over unread replies resets the connection
        channel.close();
        double now = history.now();
        for (int i = 0; i < requests; i++) {
            history.add(new RequestEnded(now, id(i), Outcome.CLIENT_LEFT));
        }
        return now;
    }

    @Override public void close() throws IOException {
        channel.close();
    }
}
