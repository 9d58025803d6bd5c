package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import kelphollow.transport.Front;
import kelphollow.transport.LingeringClose;
import kelphollow.transport.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Closing of a connection whose client closes it as well, keeps it open, or does not read. */
@Timeout(20)
class LingeringCloseTest {
    private static final int FEW_BYTES = 5;
    /** More than the socket's buffers hold. */
    private static final int MANY_BYTES = 32 * 1024 * 1024;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ManualTicker ticker = new ManualTicker(loop);
    private final LingeringClose lingering = new LingeringClose(ticker, 400, 250, 1);
    private final BlockingQueue<Channel> accepted = new LinkedBlockingQueue<>();
    private final Front front = new Front() {
        @Override public void accept(Channel channel) {
            accepted.add(channel);
        }

        @Override public void rejected(Channel channel) {}

        @Override public int connections() {
            return 0;
        }

        @Override public void evictIdle() {}

        @Override public void shutDown(Runnable whenClosed) {}
    };
    private final InetSocketAddress address =
        new Server(10).listen(loop, new InetSocketAddress("127.0.0.1", 0), front);

    @AfterEach void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Channel accepted() throws InterruptedException {
        return accepted.poll(10, TimeUnit.SECONDS);
    }

    private void begin(Channel channel, int bytesOwed) throws InterruptedException {
        loop.submit(() -> {
            channel.write(Unpooled.wrappedBuffer(new byte[bytesOwed]));
            lingering.begin(channel);
        }).sync();
    }

    @Test void theConnectionClosesWhenItsClientCloses() throws Exception {
        try (ScriptedPeer clients = new ScriptedPeer()) {
            ScriptedPeer.Connection client = clients.connect(address);
            Channel channel = accepted();

            begin(channel, FEW_BYTES);
            assertEquals(FEW_BYTES, client.receive(FEW_BYTES).length());
            assertTrue(client.hasEnded());
            client.socket.close();

            channel.closeFuture().sync();
            ServerHarness.runLoopOnce(loop);
            assertEquals(0, lingering.connections());
        }
    }

    @Test void aConnectedClientIsClosedAfterTheIdleTimeoutAndANonReadingOneAfterTheOverallTimeout() throws Exception {
        for (int owed : new int[] {FEW_BYTES, MANY_BYTES}) {
            try (ScriptedPeer clients = new ScriptedPeer()) {
                clients.connect(address);
                Channel channel = accepted();
                begin(channel, owed);

                ticker.advance(249);
                assertTrue(channel.isOpen());
                ticker.advance(owed == FEW_BYTES ? 1 : 150);
                assertEquals(owed != FEW_BYTES, channel.isOpen());
                ticker.advance(1);

                assertFalse(channel.isOpen(), owed + " bytes owed");
                ServerHarness.runLoopOnce(loop);
                assertEquals(0, lingering.connections());
            }
        }
    }

    @Test void beyondTheDescriptorLimitAConnectionClosesAtOnce() throws Exception {
        try (ScriptedPeer clients = new ScriptedPeer()) {
            clients.connect(address);
            begin(accepted(), FEW_BYTES);
            clients.connect(address);
            Channel second = accepted();

            begin(second, FEW_BYTES);

            assertFalse(second.isOpen());
            assertEquals(1, lingering.connections());
        }
    }
}
