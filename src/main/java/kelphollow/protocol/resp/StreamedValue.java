package kelphollow.protocol.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import kelphollow.routing.Ticker;

/**
 * A value on its way from a node's connection to a client's that is never buffered as a whole: while the client's socket is
 * full, or its turn among the client's replies has not come, nothing more is read from the node. Buffers at most
 * {@link RespCodec#MAX_BUFFERED_BYTES} and what one read brings (64 KiB) beside the client's own write buffer. Owns the
 * buffers that it was given until they are written or released. For the event loop alone.
 */
final class StreamedValue {
    /** The client's side of a request whose reply may be a streamed value. */
    interface Receiver {
        /** The value begins; the receiver lets it {@link #streamTo} a client when its turn has come, or discards it. */
        void valueBegan(StreamedValue value);
    }

    /** How far the value has come; it only moves forward. */
    private enum Stage {
        /** The receiver does not know of it: what breaks off may still be requested anew. */
        BUFFERING,
        /** The receiver knows of it, and its turn has not come. */
        ANNOUNCED,
        /** The client has been given some of it: it can only go on or be cut off. */
        STREAMING
    }

    private final long length;
    private final Channel node;
    private final Ticker ticker;
    private final ArrayDeque<ByteBuf> buffered = new ArrayDeque<>();
    private Stage stage = Stage.BUFFERING;
    private boolean discarded;
    private Channel client;
    private long bufferedBytes;
    private double lastProgressAt;

    /** {@code length} is the value's length in bytes as its header announces it. */
    StreamedValue(long length, Channel node, Ticker ticker) {
        this.length = length;
        this.node = node;
        this.ticker = ticker;
        this.lastProgressAt = ticker.now();
    }

    /** Takes bytes that came, and their ownership. True once so many have come that the receiver should be notified. */
    boolean take(ByteBuf bytes) {
        lastProgressAt = ticker.now();
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

    /** Notifies the receiver of it, the first time. */
    void announce(Receiver receiver) {
        if (stage == Stage.BUFFERING) {
            stage = Stage.ANNOUNCED;
            receiver.valueBegan(this);
        }
    }

    /** Whether the receiver has been notified. */
    boolean isAnnounced() {
        return stage != Stage.BUFFERING;
    }

    /** Its turn has come on this client's connection; what has come so far leaves at once. */
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

    /** Whether the client has been given some of it. */
    boolean isStreaming() {
        return stage == Stage.STREAMING;
    }

    /** The last byte has come and gone; the future is that of the end of the bulk string. */
    ChannelFuture end() {
        return client.writeAndFlush(Unpooled.copiedBuffer("\r\n", StandardCharsets.US_ASCII));
    }

    /** The client takes more, or has stopped taking. */
    void progressed() {
        lastProgressAt = ticker.now();
        applyBackpressure();
    }

    private void applyBackpressure() {
        node.config().setAutoRead(discarded || !waitsForClient());
    }

    /** Whether it is the client that must take something before more is read. */
    boolean waitsForClient() {
        if (discarded) {
            return false;
        }
        return stage == Stage.STREAMING ? !client.isWritable() : bufferedBytes >= RespCodec.MAX_BUFFERED_BYTES;
    }

    /** How long neither side has made progress, in milliseconds. */
    double stalledFor() {
        return ticker.now() - lastProgressAt;
    }

    /** The node has given all: its connection is read as before. */
    void complete() {
        node.config().setAutoRead(true);
    }

    /** Nobody wants it any more; what still comes is read and released. */
    void discard() {
        discarded = true;
        for (ByteBuf bytes; (bytes = buffered.poll()) != null;) {
            bytes.release();
        }
        applyBackpressure();
    }

    /** The client has taken nothing for too long, or the rest cannot be had: its connection closes. */
    void cutOff() {
        if (stage == Stage.STREAMING) {
            client.close();
        }
    }
}
