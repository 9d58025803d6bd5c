package kelphollow.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import kelphollow.routing.Ticker;

/**
 * Connection pools, one per node. The connection used last is reused first, so that the others reach the idle timeout and
 * are closed before the node closes them: a request written to a closing connection may or may not have been executed.
 * Confined to the event loop.
 */
public final class ConnectionPools {
    /**
     * Limits of all pools together.
     *
     * @param connectTimeout milliseconds within which a connection must be established
     * @param idleTimeout milliseconds after which an idle connection is no longer used
     * @param maxConnections connections open at once, to all nodes
     */
    public record Limits(int connectTimeout, double idleTimeout, int maxConnections) {}

    /**
     * Time for which a released connection is not reused: bytes that a node sends right after a response may arrive a
     * moment later, and must not be taken for the response to the next request.
     */
    private static final double REUSE_DELAY_MS = 20;

    /** A value that waits for its client holds what one read yields beside what it buffers. */
    private static final RecvByteBufAllocator SMALL_READS = new AdaptiveRecvByteBufAllocator(
        Server.MIN_RECEIVE_BUFFER_BYTES, Server.INITIAL_RECEIVE_BUFFER_BYTES, Server.MAX_RECEIVE_BUFFER_BYTES);

    /** The idle connections to one node, least recently used first, and the total number of connections to it. */
    static final class HostPool {
        private final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();
        private final String node;
        private int connections;

        HostPool(String node) {
            this.node = node;
        }
    }

    private final EventLoop loop;
    private final Ticker ticker;
    private final Limits limits;
    private final Supplier<ChannelHandler[]> codec;
    private final Map<String, HostPool> hostPools = new HashMap<>();
    private int connections;
    private long connectAttempts;
    /** Clock time up to which all input has been read; a loop that was stalled may have later input still to read. */
    private double readUpTo;
    private double lastReleasedAt;
    private boolean readCheckScheduled;

    /** {@code codec}: creates the handlers that are in a connection's pipeline while it carries an exchange. */
    public ConnectionPools(EventLoop loop, Ticker ticker, Limits limits, Supplier<ChannelHandler[]> codec) {
        this.loop = loop;
        this.ticker = ticker;
        this.limits = limits;
        this.codec = codec;
        scheduleExpiry();
    }

    /**
     * Gives the handler a connection by {@link PooledConnection.ExchangeHandler#connected}: at once if one is idle, else
     * once one is established. Above the limit of connections the call fails at once.
     */
    public PooledConnection acquire(String node, InetSocketAddress address, PooledConnection.ExchangeHandler handler) {
        HostPool hostPool = hostPools.computeIfAbsent(node, HostPool::new);
        PooledConnection idle = takeIdle(hostPool);
        if (idle != null) {
            idle.use(handler);
            return idle;
        }
        PooledConnection connection = new PooledConnection(this, hostPool, handler);
        connections++;
        hostPool.connections++;
        if (connections > limits.maxConnections()) {
            connection.ended(new IOException("limit of " + limits.maxConnections() + " connections to nodes reached"));
            return connection;
        }
        connect(connection, address);
        return connection;
    }

    /** The most recently used idle connection whose reuse delay is over, or null; closes expired ones that it finds. */
    private PooledConnection takeIdle(HostPool hostPool) {
        double now = ticker.now();
        for (Iterator<PooledConnection> latest = hostPool.idle.descendingIterator(); latest.hasNext();) {
            PooledConnection candidate = latest.next();
            if (readUpTo - candidate.idleSince() < REUSE_DELAY_MS) {
                continue;
            }
            latest.remove();
            if (candidate.channel().isActive() && now - candidate.idleSince() < limits.idleTimeout()) {
                return candidate;
            }
            candidate.close();
        }
        return null;
    }

    private void connect(PooledConnection connection, InetSocketAddress address) {
        connectAttempts++;
        new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeout())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOCATOR, Server.ALLOCATOR)
            .option(ChannelOption.RECVBUF_ALLOCATOR, SMALL_READS)
            .handler(connection)
            .connect(address).addListener(connect -> {
                if (!connect.isSuccess()) {
                    connection.ended(connect.cause());
                }
            });
    }

    /** Closes the idle connections to a node. */
    public void closeIdle(String node) {
        HostPool hostPool = hostPools.get(node);
        if (hostPool == null) {
            return;
        }
        PooledConnection connection;
        while ((connection = hostPool.idle.poll()) != null) {
            connection.close();
        }
    }

    /** Connections to all nodes, including those that are being established. */
    public int connections() {
        return connections;
    }

    /** Connection attempts since the start, successful or not. */
    public long connectAttempts() {
        return connectAttempts;
    }

    double now() {
        return ticker.now();
    }

    ChannelHandler[] newCodec() {
        return codec.get();
    }

    /** Adds a connection that no exchange uses any more. */
    void addIdle(PooledConnection connection) {
        connection.hostPool().idle.addLast(connection);
        lastReleasedAt = ticker.now();
        if (!readCheckScheduled) {
            readCheckScheduled = true;
            scheduleReadCheck();
        }
    }

    /**
     * Records up to when all input has been read, since the loop's next iteration reads before it runs tasks. Otherwise a
     * loop that was stalled would find a connection's reuse delay over before it has read what arrived during the delay.
     */
    private void scheduleReadCheck() {
        ticker.after(REUSE_DELAY_MS / 2, () -> {
            double now = ticker.now();
            ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(() -> loop.execute(() -> allReadUpTo(now)));
        });
    }

    private void allReadUpTo(double time) {
        readUpTo = time;
        readCheckScheduled = readUpTo - lastReleasedAt < REUSE_DELAY_MS;
        if (readCheckScheduled) {
            scheduleReadCheck();
        }
    }

    /** Removes a connection that has ended, and its pool with the last one: nodes may keep coming with new ids. */
    void remove(PooledConnection connection) {
        connections--;
        HostPool hostPool = connection.hostPool();
        hostPool.idle.remove(connection);
        hostPool.connections--;
        if (hostPool.connections == 0) {
            hostPools.remove(hostPool.node, hostPool);
        }
    }

    private void scheduleExpiry() {
        ticker.after(limits.idleTimeout() / 8, () -> {
            closeExpired();
            scheduleExpiry();
        });
    }

    /** Closes connections whose idle timeout would pass before the next such call. */
    private void closeExpired() {
        double expired = ticker.now() - limits.idleTimeout() * 7 / 8;
        for (HostPool hostPool : List.copyOf(hostPools.values())) {
            while (!hostPool.idle.isEmpty() && hostPool.idle.peekFirst().idleSince() < expired) {
                hostPool.idle.pollFirst().close();
            }
        }
    }
}
