package kelphollow.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection to a node, from a {@link ConnectionPools}. It carries one exchange at a time, so that none waits for
 * another. Its codec is in the pipeline only during an exchange. Bytes that a node sends after a response, or unsolicited,
 * therefore arrive here undecoded and close the connection, so that they are not taken for the response to the next
 * request. Confined to the event loop.
 */
public final class PooledConnection extends ChannelInboundHandlerAdapter {
    /**
     * Carries an exchange over a connection. It gets no more calls after {@link #connectionFailed} or {@link
     * PooledConnection#release}.
     */
    public interface ExchangeHandler {
        /** The connection is established: the handler writes now, or calls {@link PooledConnection#release}. */
        void connected(PooledConnection connection);

        /** A message was decoded; the handler releases it. */
        void received(PooledConnection connection, Object message);

        /** The channel has become writable again: see {@link Channel#isWritable}. */
        default void writable(PooledConnection connection) {}

        /** Bytes have been received that do not yet make up a message. */
        default void partialMessage(PooledConnection connection) {}

        /**
         * The connection was not established, has ended, or received what its codec cannot decode.
         *
         * @param cause null if the node closed it
         */
        void connectionFailed(PooledConnection connection, Throwable cause);
    }

    /** The states of the connection in the order of their transitions. */
    private enum State {
        /** No exchange has begun on the connection. */
        CONNECTING,
        /** An exchange has begun on the connection; it is in use or idle. */
        ESTABLISHED,
        /** The connection was not established, or has ended. */
        CLOSED
    }

    /** What one read from the socket has yielded so far. */
    private enum ReadState {
        /** No message, or no read is in progress. */
        NO_MESSAGE,
        /** At least one message. */
        MESSAGE_READ,
        /** The connection was released during the read: it becomes idle once the read is complete. */
        RELEASED
    }

    private final ConnectionPools pools;
    private final ConnectionPools.HostPool hostPool;
    private State state = State.CONNECTING;
    private ReadState readState = ReadState.NO_MESSAGE;
    private ExchangeHandler handler;
    private Channel channel;
    private double idleSince;

    PooledConnection(ConnectionPools pools, ConnectionPools.HostPool hostPool, ExchangeHandler handler) {
        this.pools = pools;
        this.hostPool = hostPool;
        this.handler = handler;
    }

    ConnectionPools.HostPool hostPool() {
        return hostPool;
    }

    /** Clock time since which the connection has been idle. */
    double idleSince() {
        return idleSince;
    }

    /** The channel to write to; null until the connection is being established. */
    public Channel channel() {
        return channel;
    }

    /** Whether this handler holds the connection now. */
    public boolean isUsedBy(ExchangeHandler other) {
        return handler == other;
    }

    /** Gives an idle connection to its next handler, which is notified at once. */
    void use(ExchangeHandler next) {
        handler = next;
        beginExchange();
    }

    private void beginExchange() {
        state = State.ESTABLISHED;
        channel.pipeline().addFirst(pools.newCodec());
        handler.connected(this);
    }

    /** Releases the connection; it is kept for the next exchange if it is open and nothing followed the response. */
    public void release() {
        handler = null;
        removeCodec();
        if (readState != ReadState.NO_MESSAGE) {
            readState = ReadState.RELEASED;
        } else if (state != State.CLOSED) {
            pools.addIdle(this);
        }
    }

    /** Removes the codec. A decoder that is removed passes on its undecoded bytes to {@link #channelRead}. */
    private void removeCodec() {
        while (state != State.CLOSED) {
            ChannelHandler first = channel.pipeline().first();
            if (first == this) {
                return;
            }
            channel.pipeline().remove(first);
        }
    }

    /** Closes the connection, which tells the node that its response is no longer needed. */
    public void close() {
        handler = null;
        if (channel != null) {
            channel.close();
        }
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /**
     * Begins the exchange once all input that arrived while the connection was being established has been read. Prevents a
     * write for a client whose disconnect, or to a node whose drain, was received but not yet read.
     */
    @Override public void channelActive(ChannelHandlerContext ctx) {
        if (handler == null) {
            ctx.close();       // closed by its handler while it was being established
            return;
        }
        idleSince = pools.now();
        ctx.channel().eventLoop().execute(() -> {
            if (handler != null) {
                beginExchange();
            }
        });
    }

    /** Passes the message on to the handler, which releases it; releases it here if there is no handler. */
    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (readState == ReadState.NO_MESSAGE) {
            readState = ReadState.MESSAGE_READ;
        }
        if (handler == null || state == State.CONNECTING) {
            ReferenceCountUtil.release(message);
            ctx.close();       // unsolicited bytes
        } else {
            handler.received(this, message);
        }
    }

    @Override public void channelReadComplete(ChannelHandlerContext ctx) {
        ReadState completed = readState;
        readState = ReadState.NO_MESSAGE;
        if (completed == ReadState.RELEASED) {
            if (state != State.CLOSED && channel.isActive()) {
                idleSince = pools.now();
                pools.addIdle(this);
            }
        } else if (handler != null && completed == ReadState.NO_MESSAGE) {
            handler.partialMessage(this);
        }
    }

    @Override public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (handler != null && ctx.channel().isWritable()) {
            handler.writable(this);
        }
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        ended(null);
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ended(cause);
        ctx.close();
    }

    /** The connection was not established, or has ended: notifies its handler and the pool, each once. */
    void ended(Throwable cause) {
        ExchangeHandler last = handler;
        handler = null;
        if (state != State.CLOSED) {
            state = State.CLOSED;
            pools.remove(this);
        }
        if (last != null) {
            last.connectionFailed(this, cause);
        }
    }
}
