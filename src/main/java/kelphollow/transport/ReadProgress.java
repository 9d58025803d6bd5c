package kelphollow.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.BooleanSupplier;
import kelphollow.routing.Ticker;

/**
 * Knows how far a client's connection has been read. A client's disconnect is only detected behind all that it has sent, so
 * the client is known to be connected as of the last read that found no more input. The first handler of the connection;
 * confined to the event loop.
 */
public final class ReadProgress extends ChannelInboundHandlerAdapter {
    /** A socket that was read to its end longer ago is read again before its client counts as connected. */
    private static final double CONFIRMED_FOR_MS = 5;
    /** Bounds how long one client's input may occupy the event loop. */
    private static final int MAX_READS_AT_ONCE = 16;

    private final Ticker ticker;
    private final BooleanSupplier mayRead;
    private ChannelHandlerContext context;
    /** Whether a read of the socket is in progress, which must not be nested. */
    private boolean reading;
    private boolean drained = true;
    /** Clock time of the last read that found no more input; nothing is known of a connection that was not read yet. */
    private double drainedAt = Double.NEGATIVE_INFINITY;
    /** Clock time since which there has been input that was not read; as of the last read if there is none. */
    private double unreadSince;
    private double unreadBefore;

    /** {@code mayRead}: whether memory allows reading more than was demanded. */
    public ReadProgress(Ticker ticker, BooleanSupplier mayRead) {
        this.ticker = ticker;
        this.mayRead = mayRead;
        this.unreadSince = ticker.now();
    }

    @Override public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override public void channelRead(ChannelHandlerContext on, Object message) {
        reading = true;
        on.fireChannelRead(message);
    }

    @Override public void channelReadComplete(ChannelHandlerContext on) {
        reading = false;
        double now = ticker.now();
        unreadBefore = drained ? 0 : now - unreadSince;
        if (drained) {
            unreadSince = now;
        }
        drained = on.channel().unsafe().recvBufAllocHandle().lastBytesRead() <= 0;
        if (drained) {
            drainedAt = now;
        }
        on.fireChannelReadComplete();
    }

    /** Whether the socket had no more input when it was read last. */
    public boolean isDrained() {
        return drained;
    }

    /** For how long input had been unread when the socket was read last, in milliseconds. */
    public double unreadBefore() {
        return unreadBefore;
    }

    /**
     * Clock time as of which the client is known to be connected. The socket is read for it, as far as memory allows, since
     * the event loop may be late; within a read of this socket it is as of an earlier one.
     */
    public double connectedAsOf() {
        if (ticker.now() - drainedAt > CONFIRMED_FOR_MS) {
            readNow();
        }
        return context.channel().isActive() ? drainedAt : Double.NEGATIVE_INFINITY;
    }

    /** Reads what the socket has received, to its end unless memory or the share of one client does not allow it. */
    public void readNow() {
        if (reading) {
            return;
        }
        for (int reads = 0; reads < MAX_READS_AT_ONCE && mayRead.getAsBoolean(); reads++) {
            if (!SocketInput.readNow(context.channel())) {
                drainedAt = ticker.now();
                return;
            }
            if (drained || !context.channel().isActive()) {
                return;
            }
        }
    }
}
