package kelphollow.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;

/** A listening socket, whose accepted connections get their handlers from a {@link Front}. */
public final class Server {
    /** One arena for the one event loop, in chunks of 256 KiB: Netty's default sizes do not suit a small machine. */
    static final ByteBufAllocator ALLOCATOR = new PooledByteBufAllocator(true, 0, 1, 8192, 5, 0, 0, false);
    static final int MIN_RECEIVE_BUFFER_BYTES = 64;
    static final int INITIAL_RECEIVE_BUFFER_BYTES = 2 * 1024;
    /** A codec keeps a receive buffer while it holds part of a line, on every connection if clients stop there. */
    static final int MAX_RECEIVE_BUFFER_BYTES = 16 * 1024;
    private static final int MAX_READS_AT_ONCE = 16;
    /** Reads until no input is left, so that a client's disconnect right after its request is detected with the request. */
    private static final RecvByteBufAllocator READ_ALL = new AdaptiveRecvByteBufAllocator(MIN_RECEIVE_BUFFER_BYTES,
        INITIAL_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES).respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS_AT_ONCE);
    /** What may wait for a client that reads slowly; a value that streams to it waits at its node beyond that. */
    private static final WriteBufferWaterMark PENDING_BYTES = new WriteBufferWaterMark(8 * 1024, 16 * 1024);
    /** Connections that the kernel queues before they are accepted. */
    private static final int BACKLOG = 512;

    private final int maxConnections;
    private Channel listener;

    /** {@code maxConnections}: served at once; above it an idle connection is evicted, or else the new one is closed. */
    public Server(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Opens the socket; blocks until it listens. Called from outside the event loop. Returns the bound address. */
    public InetSocketAddress listen(EventLoop loop, InetSocketAddress address, Front front) {
        listener = bootstrap(loop, front).channel(NioServerSocketChannel.class)
            .bind(address).syncUninterruptibly().channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * Accepts connections from a socket that already listens and was inherited from the platform. Closing it later closes
     * only this process's descriptor: the socket stays open in every other process that holds it.
     */
    public InetSocketAddress listen(EventLoop loop, ServerSocketChannel inherited, Front front) {
        listener = bootstrap(loop, front).channelFactory(() -> new NioServerSocketChannel(inherited))
            .register().syncUninterruptibly().channel();
        return (InetSocketAddress) listener.localAddress();
    }

    private ServerBootstrap bootstrap(EventLoop loop, Front front) {
        return new ServerBootstrap().group(loop)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOCATOR, ALLOCATOR)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, READ_ALL)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, PENDING_BYTES)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel channel) {
                    admit(channel, front);
                }
            });
    }

    /** Bounds the file descriptors in use: a connection above the limit is closed before anything is read from it. */
    private void admit(Channel channel, Front front) {
        if (front.connections() >= maxConnections) {
            front.evictIdle();
        }
        if (front.connections() >= maxConnections) {
            front.rejected(channel);
            channel.close();
            return;
        }
        front.accept(channel);
    }

    /** Stops accepting connections; open connections continue. */
    public void stop() {
        if (listener != null) {
            listener.close();
        }
    }
}
