package kelphollow.protocol.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import kelphollow.routing.Ticker;
import kelphollow.transport.ClientMemory;
import kelphollow.transport.Server;
import kelphollow.transport.SocketInput;

/**
 * Holds what a client has sent until its connection decodes it in slices, so that no client decides how long a turn of
 * the event loop takes. The socket is read ahead of the decoder as far as memory allows, since a client's disconnect is
 * only detected behind all that it has sent; tells as of when the client is known to be connected. What is held lies on the
 * heap, so that receive buffers return to their pool. The first handler of a connection; confined to the event loop.
 */
final class InboundPacer extends ChannelInboundHandlerAdapter {
    /** Each connection may hold this much and what one more read yields, whatever others hold. */
    private static final int MIN_ROOM_BYTES = 16 * 1024;
    /** Counted for each buffer beside its content. */
    private static final int BUFFER_BYTES = 128;
    /** Some 70 of the smallest commands. */
    private static final int SLICE_BYTES = 1024;
    /** A socket that was read to its end longer ago is read again before its client counts as connected. */
    private static final double CONFIRMED_FOR_MS = 5;

    private final Ticker ticker;
    private final ClientMemory memory;
    private final Runnable whenRead;
    private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private int heldBytes;
    /** What is counted in {@link #memory}. */
    private long countedBytes;
    /** Buffers that the current read of the socket has yielded. */
    private int buffersRead;
    /** Whether the last read ended because the socket had no more input. */
    private boolean drained = true;
    /** Clock time of the last read that found no more input; nothing is known of a connection that was not read yet. */
    private double drainedAt = Double.NEGATIVE_INFINITY;
    /** Clock time since which there has been input that was not read; as of the last read if there is none. */
    private double unreadSince;
    /** For how long there had been unread input when the socket was read last, in milliseconds. */
    private double unreadBefore;
    private boolean discarding;

    /**
     * Creates the handler of a new connection.
     *
     * @param memory counts what all connections hold
     * @param whenRead runs after each read of the socket
     */
    InboundPacer(Ticker ticker, ClientMemory memory, Runnable whenRead) {
        this.ticker = ticker;
        this.memory = memory;
        this.whenRead = whenRead;
        this.unreadSince = ticker.now();
    }

    @Override public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override public void channelRead(ChannelHandlerContext reading, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        buffersRead++;
        try {
            if (!discarding) {
                hold(Unpooled.copiedBuffer(bytes));
            }
        } finally {
            bytes.release();
        }
        if (!hasRoom()) {
            context.channel().config().setAutoRead(false);
        }
    }

    private void hold(ByteBuf bytes) {
        held.add(bytes);
        heldBytes += bytes.readableBytes();
        count(bytes.readableBytes() + BUFFER_BYTES);
    }

    private void count(long bytes) {
        countedBytes += bytes;
        memory.add(bytes);
    }

    private void release(long bytes) {
        countedBytes -= bytes;
        memory.release(bytes);
    }

    @Override public void channelReadComplete(ChannelHandlerContext reading) {
        double now = ticker.now();
        unreadBefore = drained ? 0 : now - unreadSince;
        if (drained) {
            unreadSince = now;
        }
        drained = hasRoom() && buffersRead < Server.MAX_READS_AT_ONCE;
        buffersRead = 0;
        if (drained) {
            drainedAt = now;
        }
        whenRead.run();
    }

    /** Whether more may be read from the socket. */
    boolean hasRoom() {
        return heldBytes < MIN_ROOM_BYTES || memory.hasRoomFor(countedBytes);
    }

    /** Whether so much is held that the client sends faster than it is served. */
    boolean isBacklogged() {
        return heldBytes >= MIN_ROOM_BYTES;
    }

    /** Whether nothing is held. */
    boolean isEmpty() {
        return held.isEmpty();
    }

    /** Whether the socket had no more input when it was read last. */
    boolean isDrained() {
        return drained;
    }

    /**
     * Clock time as of which the client is known to be connected. The socket is read for it, since the event loop may be
     * late; that has no effect while there is no room.
     */
    double connectedAsOf() {
        if (ticker.now() - drainedAt > CONFIRMED_FOR_MS) {
            readNow();
        }
        return context.channel().isActive() ? drainedAt : Double.NEGATIVE_INFINITY;
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
        if (!hasRoom()) {
            return;
        }
        context.channel().config().setAutoRead(true);      // else a read ends with its first buffer
        if (!SocketInput.readNow(context.channel())) {
            drainedAt = ticker.now();
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
        release(length);
        if (!first.isReadable()) {
            release(BUFFER_BYTES);
            held.remove().release();
        }
        context.fireChannelRead(slice);
        return length;
    }

    /** Discards what is held and what is still received. */
    void discard() {
        discarding = true;
        heldBytes = 0;
        release(countedBytes);
        for (ByteBuf bytes; (bytes = held.poll()) != null;) {
            bytes.release();
        }
    }
}
