package kelphollow.protocol.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import kelphollow.routing.Ticker;
import kelphollow.transport.ClientMemory;
import kelphollow.transport.ReadProgress;

/**
 * Holds what a client has sent until its connection decodes it in slices, so that no client decides how long a turn of
 * the event loop takes. The socket is read ahead of the decoder as far as memory allows, since a client's disconnect is
 * only detected behind all that it has sent. What is held lies on the heap, so that receive buffers return to their pool.
 * Follows {@link ReadProgress} in a connection's pipeline; confined to the event loop.
 */
final class InboundPacer extends ChannelInboundHandlerAdapter {
    /** Each connection may hold this much and what one more read yields, whatever others hold. */
    private static final int MIN_ROOM_BYTES = 16 * 1024;
    /** Counted for each buffer beside its content. */
    private static final int BUFFER_BYTES = 128;
    /** Some 70 of the smallest commands. */
    private static final int SLICE_BYTES = 1024;

    /** Input that was read from the socket at a clock time. */
    private record HeldInput(ByteBuf bytes, double readAt) {}

    private final Ticker ticker;
    private final ClientMemory memory;
    private final Runnable whenRead;
    private final ReadProgress progress;
    private final ArrayDeque<HeldInput> held = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private int heldBytes;
    /** What is counted in {@link #memory}. */
    private long countedBytes;
    /** Clock time at which the slice that was decoded last had been read. */
    private double readAt;
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
        this.progress = new ReadProgress(ticker, this::hasRoom);
    }

    /** How far the connection has been read; its handler precedes this one. */
    ReadProgress progress() {
        return progress;
    }

    @Override public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override public void channelRead(ChannelHandlerContext reading, Object message) {
        ByteBuf bytes = (ByteBuf) message;
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
        held.add(new HeldInput(bytes, ticker.now()));
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

    /** Clock time at which the input that is being decoded was read from the socket. */
    double readAt() {
        return readAt;
    }

    int heldBytes() {
        return heldBytes;
    }

    /** Passes the next slice to the decoder; returns how many bytes it has, or 0 if nothing is held. */
    int decodeNext() {
        if (held.isEmpty()) {
            return 0;
        }
        ByteBuf first = held.peek().bytes();
        readAt = held.peek().readAt();
        int length = Math.min(SLICE_BYTES, first.readableBytes());
        ByteBuf slice = first.readRetainedSlice(length);
        heldBytes -= length;
        release(length);
        if (!first.isReadable()) {
            release(BUFFER_BYTES);
            held.remove().bytes().release();
        }
        context.fireChannelRead(slice);
        return length;
    }

    /** Discards what is held and what is still received. */
    void discard() {
        discarding = true;
        heldBytes = 0;
        release(countedBytes);
        for (HeldInput input; (input = held.poll()) != null;) {
            input.bytes().release();
        }
    }
}
