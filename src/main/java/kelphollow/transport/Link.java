package kelphollow.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/** One dialled connection to a node. It carries one exchange at a time, so that none waits behind another. */
public final class Link extends ChannelInboundHandlerAdapter {
    /** Who uses the connection just now. After {@link #broken} or {@link Link#release} it hears nothing more. */
    public interface User {
        /** The connection is up; write now or {@link Link#release} it. */
        void up(Link link);

        /** A decoded message; the user releases it. */
        void received(Link link, Object message);

        /** All that was written so far is in the kernel's hands, or the socket is full: see {@link Channel#isWritable}. */
        default void writable(Link link) { }

        /** The connection was not made, has ended, or brought what its codec cannot read. */
        void broken(Link link, Throwable cause);
    }

    private final Pools pools;
    final Pools.Shelf shelf;
    double idleSince;
    private User user;
    private Channel channel;
    private boolean closed;

    Link(Pools pools, Pools.Shelf shelf, User user) {
        this.pools = pools;
        this.shelf = shelf;
        this.user = user;
    }

    void use(User next) {
        user = next;
        next.up(this);
    }

    public Channel channel() {
        return channel;
    }

    public boolean isUsedBy(User who) {
        return user == who;
    }

    /** Gives the connection back; it is kept for the next exchange if it stands. */
    public void release() {
        user = null;
        if (!closed) {
            pools.keep(this);
        }
    }

    /** Closes the connection, the sign to a node that its answer is no longer waited for. */
    public void close() {
        user = null;
        if (channel != null) {
            channel.close();
        }
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        if (user == null) {
            ctx.close();       // given up while it was dialled
        } else {
            user.up(this);
        }
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (user == null) {
            ReferenceCountUtil.release(message);
            ctx.close();       // a node speaks only when asked
        } else {
            user.received(this, message);
        }
    }

    @Override public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (user != null && ctx.channel().isWritable()) {
            user.writable(this);
        }
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        ended(null);
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ended(cause);
        ctx.close();
    }

    void ended(Throwable cause) {
        User last = user;
        user = null;
        if (!closed) {
            closed = true;
            pools.forget(this);
        }
        if (last != null) {
            last.broken(this, cause);
        }
    }
}
