package kelphollow.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
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
 * Connections to nodes, one pool a node. The one used last is taken first, so that the others grow old and are closed
 * before the node closes them: a request written to a closing connection may or may not have been executed. Confined
 * to the event loop.
 */
public final class ConnectionPools {
    /**
     * Bounds of all pools together.
     *
     * @param connectTimeout milliseconds within which a connection must be established
     * @param idleTimeout milliseconds after which an idle connection is not used any more
     * @param maxConnections connections open at once, to all nodes
     */
    public record Limits(int connectTimeout, double idleTimeout, int maxConnections) {}

    /**
     * Milliseconds for which a released connection carries nothing: what a node sends right behind a response may come a
     * moment later, and must not meet the next request.
     */
    private static final double QUARANTINE = 20;

    /** The idle connections to one node, oldest first, and how many there are in all. */
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
    /** What had arrived by this clock time has been read; a loop that was stalled may have more before it. */
    private double readUpTo;
    private double lastReleasedAt;
    private boolean readCheckScheduled;

    /** {@code codec}: makes the handlers that a connection has while it carries an exchange. */
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
            connection.ended(new IOException("no more than " + limits.maxConnections() + " connections to nodes"));
            return connection;
        }
        connect(connection, address);
        return connection;
    }

    /** The idle connection used last whose quarantine is over, or null; those found to be too old are closed. */
    private PooledConnection takeIdle(HostPool hostPool) {
        double now = ticker.now();
        for (Iterator<PooledConnection> latest = hostPool.idle.descendingIterator(); latest.hasNext();) {
            PooledConnection candidate = latest.next();
            if (readUpTo - candidate.idleSince() < QUARANTINE) {
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

    /** Connections to all nodes, those that are being established included. */
    public int connections() {
        return connections;
    }

    /** Connections that were begun to be established since the start. */
    public long connectAttempts() {
        return connectAttempts;
    }

    double now() {
        return ticker.now();
    }

    ChannelHandler[] newCodec() {
        return codec.get();
    }

    /** The connection carries nothing from now on. */
    void addIdle(PooledConnection connection) {
        connection.hostPool().idle.addLast(connection);
        lastReleasedAt = ticker.now();
        if (!readCheckScheduled) {
            readCheckScheduled = true;
            scheduleReadCheck();
        }
    }

    /**
     * Notes up to when all that arrived has been read: the loop's next iteration reads first and runs tasks then. Guards
     * against a loop that was stalled, which finds a connection's quarantine over before it has read what came within it.
     */
    private void scheduleReadCheck() {
        ticker.after(QUARANTINE / 2, () -> {
            double now = ticker.now();
            ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(() -> loop.execute(() -> allReadUpTo(now)));
        });
    }

    private void allReadUpTo(double time) {
        readUpTo = time;
        readCheckScheduled = readUpTo - lastReleasedAt < QUARANTINE;
        if (readCheckScheduled) {
            scheduleReadCheck();
        }
    }

    /** The connection has ended. A pool goes with its last one: nodes may come under ever new ids. */
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

    /** Closes what would be too old before the next such call. */
    private void closeExpired() {
        double expired = ticker.now() - limits.idleTimeout() * 7 / 8;
        for (HostPool hostPool : List.copyOf(hostPools.values())) {
            while (!hostPool.idle.isEmpty() && hostPool.idle.peekFirst().idleSince() < expired) {
                hostPool.idle.pollFirst().close();
            }
        }
    }
}
