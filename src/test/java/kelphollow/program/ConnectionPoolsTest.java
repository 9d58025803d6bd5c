package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import kelphollow.transport.ConnectionPools;
import kelphollow.transport.PooledConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The conditions under which an idle connection is reused for the next exchange. */
@Timeout(20)
class ConnectionPoolsTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ManualTicker ticker = new ManualTicker(loop);
    private final ConnectionPools pools = new ConnectionPools(loop, ticker,
        new ConnectionPools.Limits(250, 12_000, 10), () -> new ChannelHandler[0]);
    private final BlockingQueue<PooledConnection> connected = new LinkedBlockingQueue<>();
    private final PooledConnection.ExchangeHandler user = new PooledConnection.ExchangeHandler() {
        @Override public void connected(PooledConnection connection) {
            connected.add(connection);
        }

        @Override public void received(PooledConnection connection, Object message) {
            fail("no unsolicited bytes may be treated as a response");
        }

        @Override public void connectionFailed(PooledConnection connection, Throwable cause) {}
    };

    @AfterEach void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private PooledConnection acquire(ScriptedPeer node) throws Exception {
        loop.submit(() -> pools.acquire("n", node.address(), user)).sync();
        return connected.poll(10, TimeUnit.SECONDS);
    }

    @Test void anIdleConnectionWithoutUnsolicitedBytesIsReused() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer()) {
            PooledConnection first = acquire(node);
            loop.submit(first::release).sync();

            for (int i = 0; i < 5; i++) {
                ticker.advance(10);
                ServerHarness.runLoopOnce(loop);
            }

            assertSame(first, acquire(node));
            assertEquals(1, pools.connectAttempts());
        }
    }

    @Test void bytesThatArriveWhileTheLoopIsBlockedAreReadBeforeReuse() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer()) {
            PooledConnection first = acquire(node);
            ScriptedPeer.Connection connection = node.accept();
            loop.submit(first::release).sync();

            loop.submit(() -> {
                connection.send("noise");            // arrives, and is not read while this task runs
                ticker.advance(100);
                return pools.acquire("n", node.address(), user);
            }).sync();

            assertNotSame(first, connected.poll(10, TimeUnit.SECONDS));
            assertEquals(2, pools.connectAttempts());
            assertTrue(connection.hasEnded(), "a connection with unsolicited bytes is closed");
        }
    }
}
