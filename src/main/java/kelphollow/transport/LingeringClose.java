package kelphollow.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import kelphollow.routing.Ticker;

/**
 * Closes client connections without losing the last data sent on them (RFC 9112, section 9.6): the output is shut down,
 * further input is read and discarded, and the connection closes once the client has closed it, or after a timeout. A
 * close with unread input would reset the connection and lose responses in transit. A request that crosses the close is
 * not served: its client sees that it got no response and retries elsewhere. Each closing connection holds a file
 * descriptor, so their number is bounded; above the bound a connection closes at once. Confined to the event loop.
 */
public final class LingeringClose {
    /** Discards all input before any codec sees it; the connection is still read, so that its end is detected. */
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
     * Sets the bounds of closing connections.
     *
     * @param overallTimeout milliseconds that a close may take in total, for a client that is slow to read its responses
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

    /** Shuts the output down after what has been written so far, then closes the connection. */
    public void begin(Channel channel) {
        if (!(channel instanceof SocketChannel socket) || !channel.isActive() || connections >= maxConnections) {
            channel.close();
            return;
        }
        channel.pipeline().addFirst(new Discard());
        channel.config().setAutoRead(true);
        shutDownOutput(socket);
    }

    /**
     * Like {@link #begin}, but without reading any input, for a client that may send a further request: a request that
     * crosses the close is reset unread, which tells the client that it was not taken.
     */
    public void beginUnread(Channel channel) {
        if (!(channel instanceof SocketChannel socket) || !channel.isActive() || connections >= maxConnections) {
            channel.close();
            return;
        }
        channel.config().setAutoRead(false);
        shutDownOutput(socket);
    }

    private void shutDownOutput(SocketChannel channel) {
        connections++;
        Ticker.Timeout overall = ticker.after(overallTimeout, channel::close);
        channel.closeFuture().addListener(closed -> {
            connections--;
            overall.cancel();
        });
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(sent -> {
            if (channel.isActive()) {
                channel.shutdownOutput();
                ticker.after(clientTimeout, channel::close);
            }
        });
    }
}
