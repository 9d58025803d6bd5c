package kelphollow.protocol.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import kelphollow.routing.Ticker;
import kelphollow.transport.CloseReason;

/**
 * Streams a value from a node's connection to a client's connection without buffering it as a whole. Reading from the node
 * pauses while the client's channel is not writable, and, once {@link #MAX_WAITING_BYTES} are buffered, while
 * earlier replies to the client are pending. Buffers at most that many bytes plus one read (16 KiB), or {@link
 * RespCodec#MAX_BUFFERED_BYTES} until the client is notified, beside the client
 * channel's write buffer. Owns the buffers that it is given until they are written or released. Confined to the event loop.
 */
final class StreamedValue {
    /** The client's side of a request whose reply may be a streamed value. */
    interface Receiver {
        /** A value has started; the receiver calls {@link #streamTo} once the reply is next in order, or discards it. */
        void valueStarted(StreamedValue value);

        /** Part of the value was forwarded, and the rest will not be: closes the client's connection. */
        void aborted(CloseReason reason);
    }

    /** Stages of the value, in the order in which it passes them. */
    private enum Stage {
        /** The receiver has not been notified: if the node fails, the request may still be retried. */
        BUFFERING,
        /** The receiver has been notified; earlier replies to the client are pending. */
        ANNOUNCED,
        /** Part of it has been written to the client: it can only be completed or aborted. */
        STREAMING
    }

    /** With one read more, the values on all connections to nodes fit into the direct memory while they wait. */
    private static final int MAX_WAITING_BYTES = 32 * 1024;

    private final long length;
    private final Channel node;
    private final Ticker ticker;
    private final ArrayDeque<ByteBuf> buffered = new ArrayDeque<>();
    private Stage stage = Stage.BUFFERING;
    private boolean discarded;
    private Receiver receiver;
    private Channel client;
    private long receivedBytes;
    private long bufferedBytes;
    private double lastProgressAt;

    /** {@code length} is the value's length in bytes as announced by the node. */
    StreamedValue(long length, Channel node, Ticker ticker) {
        this.length = length;
        this.node = node;
        this.ticker = ticker;
        this.lastProgressAt = ticker.now();
    }

    /** Appends bytes and takes ownership of them. Returns true if enough is buffered to notify the receiver. */
    boolean append(ByteBuf bytes) {
        lastProgressAt = ticker.now();
        receivedBytes += bytes.readableBytes();
        if (discarded) {
            bytes.release();
        } else if (stage == Stage.STREAMING) {
            client.writeAndFlush(bytes);
        } else {
            buffered.add(bytes);
            bufferedBytes += bytes.readableBytes();
        }
        applyBackpressure();
        return bufferedBytes >= RespCodec.MAX_BUFFERED_BYTES;
    }

    /** Notifies the receiver; no effect after the first call. */
    void announce(Receiver announcedTo) {
        if (stage == Stage.BUFFERING) {
            stage = Stage.ANNOUNCED;
            receiver = announcedTo;
            applyBackpressure();
            receiver.valueStarted(this);
        }
    }

    /** Whether the receiver has been notified. */
    boolean isAnnounced() {
        return stage != Stage.BUFFERING;
    }

    /** Starts streaming to this client connection, beginning with the buffered bytes. No effect if started or discarded. */
    void streamTo(Channel target) {
        if (stage == Stage.STREAMING || discarded) {
            return;
        }
        stage = Stage.STREAMING;
        client = target;
        client.write(ByteBufUtil.writeAscii(client.alloc(), "$" + length + "\r\n"));
        for (ByteBuf bytes; (bytes = buffered.poll()) != null;) {
            client.write(bytes);
        }
        client.flush();
        progressed();
    }

    /** Whether part of the value has been written to the client. */
    boolean isStreaming() {
        return stage == Stage.STREAMING;
    }

    /** Writes the terminator of the bulk string after the last byte; returns the future of that write. */
    ChannelFuture end() {
        return client.writeAndFlush(Unpooled.copiedBuffer("\r\n", StandardCharsets.US_ASCII));
    }

    /** Called when the client channel's writability has changed: records progress and updates backpressure. */
    void progressed() {
        lastProgressAt = ticker.now();
        applyBackpressure();
    }

    private void applyBackpressure() {
        node.config().setAutoRead(discarded || !waitsForClient());
    }

    /** Whether reading from the node is paused until the client has read more. */
    boolean waitsForClient() {
        if (discarded) {
            return false;
        }
        return switch (stage) {
            case BUFFERING -> bufferedBytes >= RespCodec.MAX_BUFFERED_BYTES;
            case ANNOUNCED -> bufferedBytes >= MAX_WAITING_BYTES;
            case STREAMING -> !client.isWritable();
        };
    }

    /** Returns the milliseconds since either side last made progress. */
    double stalledMs() {
        return ticker.now() - lastProgressAt;
    }

    /** Names the value in the log: how much of it has arrived, and how long ago either side made progress. */
    @Override public String toString() {
        return "value of " + length + " bytes, " + receivedBytes + " received, " + stage + ", no progress for "
            + (long) stalledMs() + " ms" + (waitsForClient() ? ", waits for the client" : "");
    }

    /** Resumes reading the node's connection after the last byte of the value. */
    void complete() {
        node.config().setAutoRead(true);
    }

    /** Discards the value: buffered bytes and those that still arrive are released. */
    void discard() {
        discarded = true;
        for (ByteBuf bytes; (bytes = buffered.poll()) != null;) {
            bytes.release();
        }
        applyBackpressure();
    }

    /** Closes the client connection if the value is streaming, because the client has stalled. */
    void clientStalled() {
        if (stage == Stage.STREAMING) {
            receiver.aborted(CloseReason.CLIENT_STALLED);
        }
    }
}
