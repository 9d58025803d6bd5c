package kelphollow.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
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

    /** A request that was sent. */
    private record Sent(String id, String requestClass, int patience, int cell) {}

    /** How long the client would wait for its answers, the longest that the settings of the soak have. */
    static final int PATIENCE_MS = 5_000;
    private static final int LONG_WORD_BYTES = 60_000;
    private static final int BLOCK_BYTES = 64 * 1024;
    private static final int SEND_BUFFER_BYTES = 1024 * 1024;
    private static final int POLL_MS = 1;
    private static final int WRITE_PATIENCE_MS = 3_000;

    private final SoakHistory history;
    private final int instance;
    private final String name;
    private final boolean readsReplies;
    private final SocketChannel channel;
    private final ByteBuffer replies = ByteBuffer.allocate(BLOCK_BYTES);
    private final List<Sent> sent = new ArrayList<>();
    private double sentAt;

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
        request(count, cells, false);
    }

    /** Sends requests, one for each of the cells in turn; {@code mustRunOnce}: of a class that may not be repeated. */
    void request(int count, int cells, boolean mustRunOnce) throws IOException {
        String requestClass = mustRunOnce ? "dump-write" : "dump-export";
        int patience = mustRunOnce ? WRITE_PATIENCE_MS : PATIENCE_MS;
        double now = history.now();
        for (int i = 0; i < count; i++) {
            Sent request = new Sent(name + "q" + sent.size(), requestClass, patience, sent.size() % cells);
            sent.add(request);
            history.add(new RequestSent(now, request.id(), instance, mustRunOnce, patience));
        }
        sentAt = now;
        send(commands(0));
    }

    /** The commands of all requests, whose client waits less long by {@code elapsed} milliseconds. */
    private String commands(int elapsed) {
        return sent.stream().map(request -> RespClient.get(request.id(), request.requestClass(),
            request.patience() - elapsed, request.cell())).collect(Collectors.joining());
    }

    /** Sends all requests again under the same ids on a new connection, some milliseconds later, and leaves soon. */
    void sendAgain(InetSocketAddress address, int after) throws IOException, InterruptedException {
        Thread.sleep(after);
        try (RespClient again = new RespClient(address)) {
            again.send(commands((int) (history.now() - sentAt)));
            Thread.sleep(after);
        } finally {
            recordLeaving();
        }
    }

    /** Sends commands that are not recorded; before {@link #sendFor}. */
    void send(String commands) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(commands.getBytes(StandardCharsets.US_ASCII));
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
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
        try {
            channel.configureBlocking(false);
            discardReplies();              // a close over unread replies resets the connection
        } catch (IOException e) {
            // the process has ended the connection
        }
        channel.close();
        return recordLeaving();
    }

    private double recordLeaving() {
        double now = history.now();
        sent.forEach(request -> history.add(new RequestEnded(now, request.id(), Outcome.CLIENT_LEFT)));
        return now;
    }

    @Override public void close() throws IOException {
        channel.close();
    }
}
