package kelphollow.protocol.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import kelphollow.routing.Ticker;
import kelphollow.transport.SocketInput;

/**
 * Holds what a client has sent until its connection decodes it in slices, so that no client decides how long a turn of
 * the event loop takes. Tells whether all input has been read: a client's disconnect is only detected behind all that it
 * has sent. Holds up to {@link #MAX_HELD_BYTES} and what one more read yields, on the heap, so that receive buffers
 * return to their pool. The first handler of a connection; confined to the event loop.
 */
final class InboundPacer extends ChannelInboundHandlerAdapter {
    private static final int MAX_HELD_BYTES = 16 * 1024;
    /** Some 70 of the smallest commands. */
    private static final int SLICE_BYTES = 1024;

    private final Ticker ticker;
    private final Runnable whenRead;
    private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private int heldBytes;
    /** Whether the last read ended because the socket had no more input. */
    private boolean drained = true;
    /** Clock time of the last read that found no more input; nothing is known of a connection that was not read yet. */
    private double drainedAt = Double.NEGATIVE_INFINITY;
    /** Clock time since which there has been input that was not read; as of the last read if there is none. */
    private double unreadSince;
    /** For how long there had been unread input when the socket was read last, in milliseconds. */
    private double unreadBefore;
    private boolean discarding;

    /** {@code whenRead} runs after each read of the socket. */
    InboundPacer(Ticker ticker, Runnable whenRead) {
        this.ticker = ticker;
        this.whenRead = whenRead;
        this.unreadSince = ticker.now();
    }

    @Override public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override public void channelRead(ChannelHandlerContext reading, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            if (!discarding) {
                held.add(Unpooled.copiedBuffer(bytes));
                heldBytes += bytes.readableBytes();
            }
        } finally {
            bytes.release();
        }
        if (!hasRoom()) {
            context.channel().config().setAutoRead(false);
        }
    }

    @Override public void channelReadComplete(ChannelHandlerContext reading) {
        double now = ticker.now();
        unreadBefore = drained ? 0 : now - unreadSince;
        if (drained) {
            unreadSince = now;
        }
        drained = hasRoom();
        if (drained) {
            drainedAt = now;
        }
        whenRead.run();
    }

    /** Whether more may be read from the socket. */
    boolean hasRoom() {
        return heldBytes < MAX_HELD_BYTES;
    }

    /** Whether nothing is held. */
    boolean isEmpty() {
        return held.isEmpty();
    }

    /** Whether the socket had no more input when it was read last. */
    boolean isDrained() {
        return drained;
    }

    /** Clock time as of which all input had been read, and with it the end of the connection if there was one. */
    double drainedAt() {
        return drainedAt;
    }

    /** For how long input had been unread when the socket was read last, in milliseconds. */
    double unreadBefore() {
        return unreadBefore;
    }

    int heldBytes() {
        return heldBytes;
    }

    /** Reads what the socket has received, as far as there is room. */
    void readNow() {
        if (hasRoom()) {
            SocketInput.readNow(context.channel());
        }
    }

    /** Passes the next slice to the decoder; returns how many bytes it has, or 0 if nothing is held. */
    int decodeNext() {
        ByteBuf first = held.peek();
        if (first == null) {
            return 0;
        }
        int length = Math.min(SLICE_BYTES, first.readableBytes());
        ByteBuf slice = first.readRetainedSlice(length);
        heldBytes -= length;
        if (!first.isReadable()) {
            held.remove().release();
        }
        context.fireChannelRead(slice);
        return length;
    }

    /** Discards what is held and what is still received. */
    void discard() {
        discarding = true;
        heldBytes = 0;
        for (ByteBuf bytes; (bytes = held.poll()) != null;) {
            bytes.release();
        }
    }
}
