package kelphollow.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import kelphollow.routing.Ticker;

/**
 * Closes client connections without losing what was last sent on them (RFC 9112, 9.6): the output is shut down, further
 * input is read and discarded, and the connection closes once the client has closed it, or after a timeout. Guards
 * against a close over unread bytes, which resets the connection and loses responses on their way; and against
 * serving a request that crossed the close: its client sees that it was not answered and retries elsewhere. Each such
 * connection holds a descriptor, so their number is bounded; beyond it a connection closes at once. Confined to the
 * event loop.
 */
public final class LingeringClose {
    /** Releases all input before any codec sees it; the connection is still read, so that its end is noticed. */
    public static final class Discard extends ChannelInboundHandlerAdapter {
        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
        }

        @Override public void channelReadComplete(ChannelHandlerContext ctx) {}
    }

    private final Ticker ticker;
    private final double overallTimeout;
    private final double clientTimeout;
    private final int maxConnections;
    private int connections;

    /**
     * Closes connections within these bounds.
     *
     * @param overallTimeout milliseconds that a close may take in all, with a client that is slow to read what it is owed
     * @param clientTimeout milliseconds that a client may take to close after the last byte has been sent
     * @param maxConnections connections that may be closing at once
     */
    public LingeringClose(Ticker ticker, double overallTimeout, double clientTimeout, int maxConnections) {
        this.ticker = ticker;
        this.overallTimeout = overallTimeout;
        this.clientTimeout = clientTimeout;
        this.maxConnections = maxConnections;
    }

    /** How many connections are closing. */
    public int connections() {
        return connections;
    }

    /** Shuts the output down behind what has been written so far, then closes. */
    public void begin(Channel channel) {
        if (!(channel instanceof SocketChannel socket) || !channel.isActive() || connections >= maxConnections) {
            channel.close();
            return;
        }
        connections++;
        channel.pipeline().addFirst(new Discard());
        channel.config().setAutoRead(true);
        Ticker.Timeout overall = ticker.after(overallTimeout, channel::close);
        channel.closeFuture().addListener(closed -> {
            connections--;
            overall.cancel();
        });
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(sent -> {
            if (channel.isActive()) {
                socket.shutdownOutput();
                ticker.after(clientTimeout, channel::close);
            }
        });
    }
}
