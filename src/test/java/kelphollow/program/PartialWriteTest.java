package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import kelphollow.decision.Control;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlSettings;
import kelphollow.protocol.json.Json;
import kelphollow.protocol.object.ObjectBackend;
import kelphollow.protocol.object.ObjectFront;
import kelphollow.protocol.resp.RespBackend;
import kelphollow.protocol.resp.RecentForwardedIds;
import kelphollow.protocol.resp.RespFront;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.transport.ClientMemory;
import kelphollow.transport.Front;
import kelphollow.transport.ConnectionPools;
import kelphollow.transport.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A request that must not run twice is written only in part before its node resets or closes the connection. A request that
 * was not written completely cannot have run and is resent; one that was may have run and must never be resent.
 */
@Timeout(60)
class PartialWriteTest {
    private static final String ANSWER = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n";
    private static final String OBJECT_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final int UNLIMITED = Integer.MAX_VALUE;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ManualTicker ticker = new ManualTicker(loop);
    private final ScriptedPeer node = new ScriptedPeer();
    private final ScriptedPeer clients = new ScriptedPeer();
    /** How many bytes the sockets of the next exchanges accept; later ones are unlimited. */
    private final Queue<Integer> writeLimits = new ConcurrentLinkedQueue<>();

    PartialWriteTest() throws IOException {}

    @AfterEach void end() throws IOException {
        node.close();
        clients.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Simulates a full socket buffer: forwards bytes up to a limit; the other writes fail when the connection closes. */
    private static final class LimitedSocket extends ChannelDuplexHandler {
        private final List<ChannelPromise> unwritten = new ArrayList<>();
        private int writeLimit;

        LimitedSocket(int writeLimit) {
            this.writeLimit = writeLimit;
        }

        @Override public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            ByteBuf bytes = (ByteBuf) message;
            if (bytes.readableBytes() <= writeLimit) {
                writeLimit -= bytes.readableBytes();
                ctx.write(message, promise);
                return;
            }
            unwritten.add(promise);
            ctx.write(bytes.readRetainedSlice(writeLimit));
            writeLimit = 0;
            bytes.release();
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            unwritten.forEach(promise -> promise.tryFailure(new ClosedChannelException()));
            ctx.fireChannelInactive();
        }
    }

    private ChannelHandler[] codec(ChannelHandler[] usual) {
        Integer writeLimit = writeLimits.poll();
        List<ChannelHandler> all = new ArrayList<>(List.of(new LimitedSocket(writeLimit == null ? UNLIMITED : writeLimit)));
        all.addAll(List.of(usual));
        return all.toArray(ChannelHandler[]::new);
    }

    private ConnectionPools pools(java.util.function.Supplier<ChannelHandler[]> usual) {
        return new ConnectionPools(loop, ticker, new ConnectionPools.Limits(250, 12_000, 1_000), () -> codec(usual.get()));
    }

    private RequestRouter router(ControlSettings settings, int shards, kelphollow.routing.Backend backend) {
        RequestRouter router = new RequestRouter(new Control(settings, 1, ticker.now()), ticker, backend);
        List<ResolvedEndpoint> members = new ArrayList<>();
        for (int i = 0; i < shards; i++) {             // one node per shard, all at the same peer
            members.add(new ResolvedEndpoint(new Endpoint("n" + i, "", i, EndpointState.HEALTHY, 0), node.address()));
        }
        router.updateEndpoints(members, true);
        router.start(() -> {}, false);
        return router;
    }

    private InetSocketAddress listen(java.util.concurrent.Callable<Front> front) throws Exception {
        return new Server(100).listen(loop, new InetSocketAddress("127.0.0.1", 0), loop.submit(front).get());
    }

    private InetSocketAddress platform(int shards) throws Exception {
        ControlSettings settings = SettingsConfig.read(ServerHarness.section(ServerHarness.example(), "settings"));
        return listen(() -> new RespFront(router(settings, shards, new RespBackend(pools(RespBackend::codec), ticker)),
            ticker, settings, 100, ClientMemory.ofHeap(), new RecentForwardedIds()));
    }

    private InetSocketAddress objects(int shards) throws Exception {
        Map<String, Object> config = ServerHarness.example();
        ServerHarness.section(config, "objects").put("shards", (double) shards);
        Object assignment = Json.parse(ServerHarness.assignment("HEALTHY", node.address()));
        ServerHarness.section(config, "xds").put("endpoints", List.of(assignment));
        ObjectConfig read = ObjectConfig.read(new ConfigSection(config, ""));
        return listen(() -> new ObjectFront(router(read.settings(), shards,
            new ObjectBackend(pools(ObjectBackend::codec), ticker, read.stallTimeout())), ticker, read.options(), null,
            ClientMemory.ofHeap()));
    }

    private ScriptedPeer.Connection nextAttempt(ScriptedPeer.Connection client, String where) throws Exception {
        for (int passed = 0; passed < 2_500; passed += 10) {
            ScriptedPeer.Connection attempt = node.acceptIfAny();
            if (attempt != null) {
                return attempt;
            }
            ticker.advance(10);
            ServerHarness.runLoopOnce(loop);
        }
        return fail(where + ": an incomplete request must be resent, but was answered by " + client.until("\r\n"));
    }

    private interface Disconnect {
        void apply(ScriptedPeer.Connection connection) throws IOException;
    }

    /** Runs one request whose first attempt is interrupted after {@code bytes} bytes, and checks whether it is resent. */
    private void play(ScriptedPeer.Connection client, String whole, int bytes, Disconnect disconnect, String answer,
        String served)
        throws Exception {
        String where = bytes + " of " + whole.length() + " bytes";
        writeLimits.add(bytes);
        client.send(whole);
        ScriptedPeer.Connection attempt = node.accept();
        assertEquals(whole.substring(0, bytes), attempt.receive(bytes), where);
        while (!writeLimits.isEmpty()) {
            ServerHarness.runLoopOnce(loop);              // until the connection is established
        }
        ServerHarness.runLoopOnce(loop);                  // writes up to the limit
        disconnect.apply(attempt);
        if (bytes < whole.length()) {
            ScriptedPeer.Connection again = nextAttempt(client, where);
            assertEquals(whole.length(), again.receive(whole.length()).length(), where);
            again.send(answer);
            assertTrue(client.until(served).endsWith(served), where);
            again.socket.close();              // so that each attempt opens a new connection
            ServerHarness.runLoopOnce(loop);
        } else {
            for (int passed = 0; client.socket.getInputStream().available() == 0; passed += 10) {
                assertTrue(passed < 100, "answered at once");
                ServerHarness.runLoopOnce(loop);
            }
            String failed = client.until("\r\n");
            assertTrue(failed.startsWith("-ERR") || failed.startsWith("HTTP/1.1 502"), where + ": " + failed);
            ticker.advance(3_000);
            ServerHarness.runLoopOnce(loop);
            assertNull(node.acceptIfAny(), "a request that may have run is never resent");
        }
    }

    @Test void aWriteIsResentOnlyIfItsLastByteWasNotWritten() throws Exception {
        int length = put(100).length();
        InetSocketAddress at = platform(100 + length + 2);
        for (int bytes = 0; bytes <= length; bytes++) {
            ScriptedPeer.Connection client = clients.connect(at);
            play(client, put(100 + bytes), bytes, ScriptedPeer.Connection::reset, ANSWER, "$2\r\nok\r\n");
            client.socket.close();
        }
        play(clients.connect(at), put(101 + length), length - 1, connection -> connection.socket.close(), ANSWER,
            "$2\r\nok\r\n");
    }

    @Test void anObjectRequestIsResentOnlyIfItsLastByteWasNotWritten() throws Exception {
        String head = "DELETE /symbols/a%03d HTTP/1.1\r\nHost: h\r\n\r\n";
        int length = head.formatted(0).length();
        InetSocketAddress at = objects(1);
        for (int bytes = 0; bytes <= length; bytes++) {
            ScriptedPeer.Connection client = clients.connect(at);
            play(client, head.formatted(bytes), bytes, ScriptedPeer.Connection::reset, OBJECT_ANSWER, "\r\n\r\n");
            client.socket.close();
            ticker.advance(5_000);
        }
    }

    /** A body that is being streamed is not buffered, so it cannot be resent whether its last byte was written or not. */
    @Test void anObjectWriteWhoseBodyIsBeingStreamedIsNeverResent() throws Exception {
        String head = "PUT /symbols/a HTTP/1.1\r\nHost: h\r\n";
        String own = head + "content-length: 4\r\nexpect: 100-continue\r\n\r\n";
        InetSocketAddress at = objects(1);
        for (int bytes = 0; bytes <= 4; bytes++) {
            ScriptedPeer.Connection client = clients.connect(at);
            writeLimits.add(own.length() + bytes);
            client.send(head + "Content-Length: 4\r\n\r\nbody");
            ScriptedPeer.Connection attempt = node.accept();
            assertEquals(own, attempt.until("\r\n\r\n"));
            attempt.send("HTTP/1.1 100 Continue\r\n\r\n");
            for (int iterations = 0; iterations < 3; iterations++) {
                ServerHarness.runLoopOnce(loop);              // reads the 100 Continue, then writes up to the limit
            }
            assertEquals("body".substring(0, bytes), attempt.receive(bytes));
            attempt.reset();
            ServerHarness.runLoopOnce(loop);
            assertTrue(client.until("\r\n").startsWith("HTTP/1.1 50"), bytes + " bytes of the body");
            ticker.advance(5_000);
            ServerHarness.runLoopOnce(loop);
            assertNull(node.acceptIfAny(), bytes + " bytes of the body");
            client.socket.close();
        }
    }

    private static String put(int shard) {
        String id = "w" + shard;
        String values = "c=dump-write,t=padrao,d=3000,volume=v" + shard + ",units=1,shard=" + shard + ",hosts=1";
        return "*5\r\n$7\r\nOBJ.PUT\r\n$1\r\np\r\n$" + id.length() + "\r\n" + id + "\r\n$" + values.length() + "\r\n"
            + values + "\r\n$4\r\nbody\r\n";
    }
}
