package kelphollow.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection to a node, from a {@link ConnectionPools}. It carries one exchange at a time, so that none waits behind
 * another. Its codec is in the pipeline only while an exchange goes on: what a node sends behind a response, or unasked,
 * then arrives here undecoded and closes the connection. Guards against taking such bytes for the response to the next
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

        /** Bytes have come that make no message yet. */
        default void partialMessage(PooledConnection connection) {}

        /**
         * The connection was not established, has ended, or brought what its codec cannot read.
         *
         * @param cause null if the node closed it
         */
        void connectionFailed(PooledConnection connection, Throwable cause);
    }

    /** Of the connection, in their only order. */
    private enum State {
        /** No exchange has begun on it. */
        CONNECTING,
        /** An exchange has begun on it; it is in use, or idle. */
        ESTABLISHED,
        /** It was not established, or has ended. */
        CLOSED
    }

    /** Of what one read from the socket has brought so far. */
    private enum ReadState {
        /** No message, or no read is under way. */
        NO_MESSAGE,
        /** At least one message. */
        MESSAGE_READ,
        /** The connection was released within the read: it is idle once the read is complete. */
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

    /** Clock time since which nothing has used the connection. */
    double idleSince() {
        return idleSince;
    }

    /** The channel, for writing; null until the connection is being established. */
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

    /** Gives the connection back; it is kept for the next exchange if it is open and nothing came behind the response. */
    public void release() {
        handler = null;
        removeCodec();
        if (readState != ReadState.NO_MESSAGE) {
            readState = ReadState.RELEASED;
        } else if (state != State.CLOSED) {
            pools.addIdle(this);
        }
    }

    /** A decoder that is removed passes on the bytes that it has not decoded: see {@link #channelRead}. */
    private void removeCodec() {
        while (state != State.CLOSED) {
            ChannelHandler first = channel.pipeline().first();
            if (first == this) {
                return;
            }
            channel.pipeline().remove(first);
        }
    }

    /** Closes the connection, which tells a node that its response is no longer waited for. */
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
     * The exchange begins once all has been read that came while the connection was established. Guards against a
     * first byte for a client whose end, or to a node whose drain, was there to be read before.
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
            ctx.close();       // a node responds to requests only
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
