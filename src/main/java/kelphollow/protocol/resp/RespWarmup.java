package kelphollow.protocol.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import kelphollow.decision.Control;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlSettings;
import kelphollow.routing.Attempt;
import kelphollow.routing.Backend;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.routing.Ticker;

/**
 * Plays requests through a scheduler of its own, without sockets, before the real one listens. Guards against
 * the first clients waiting while classes are loaded and code is compiled.
 */
public final class RespWarmup {
    private static final int REQUESTS = 200;
    private static final long LONGEST_NANOS = 2_000_000_000L;
    private static final int NODES = 4;
    private static final String ANSWER = "*3\r\n$5\r\nvalue\r\n$6\r\ncost=2\r\n$10\r\ninflight=3\r\n";

    private RespWarmup() {}

    /** Warms up for two seconds at most; returns how many requests were answered with a value. */
    public static int run(ControlSettings settings, long seed) {
        long end = System.nanoTime() + LONGEST_NANOS;
        Loopless world = new Loopless();
        RequestRouter router = new RequestRouter(new Control(settings, seed, world.now()), world, world);
        router.disableLogging();
        List<ResolvedEndpoint> members = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            members.add(new ResolvedEndpoint(new Endpoint("n" + i, "", i, EndpointState.HEALTHY, 0), new InetSocketAddress(
                0)));
        }
        router.restoreEndpoints(members);
        router.start(() -> {}, false);
        EmbeddedChannel client = new EmbeddedChannel();
        new RespFront(router, world, settings, 1).accept(client);
        int served = 0;
        for (int i = 0; i < REQUESTS && System.nanoTime() < end; i++) {
            var kind = settings.classes().get(i % settings.classes().size());
            var plan = settings.plans().get(i % settings.plans().size());
            String values = "k=" + i + ",c=" + kind.name() + ",t=" + plan.name() + ",d=1000,volume=" + i % 40
                + ",units=2,shard=" + i % NODES + ",hosts=2";
            client.writeInbound(ascii("*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$" + values.length() + "\r\n"
                + values + "\r\n"));
            world.pass(i % 7 == 0 ? 60 : 3);
            ByteBuf reply;
            while ((reply = client.readOutbound()) != null) {
                served += reply.isReadable() && reply.getByte(reply.readerIndex()) == '$' ? 1 : 0;
                reply.release();
            }
        }
        client.finishAndReleaseAll();
        world.node.finishAndReleaseAll();
        return served;
    }

    private static ByteBuf ascii(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    /** A clock that is moved by hand, and nodes that answer when it moves. */
    private static final class Loopless implements Ticker, Backend {
        /** No record: linking the equality that Java makes for one takes as long as many requests. */
        private static final class Due {
            final double at;
            final Runnable task;

            Due(double at, Runnable task) {
                this.at = at;
                this.task = task;
            }
        }

        final EmbeddedChannel node = new EmbeddedChannel();
        private final List<Due> dues = new ArrayList<>();
        private final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
        private double now = 1_000;

        Loopless() {
            node.pipeline().addLast(Resp.nodeCodec());
        }

        @Override public double now() {
            return now;
        }

        @Override public Timeout after(double millis, Runnable task) {
            Due due = new Due(now + millis, task);
            dues.add(due);
            return () -> dues.remove(due);
        }

        @Override public void start(Attempt attempt) {
            waiting.add(attempt);
        }

        @Override public void cancel(Attempt attempt) {
            waiting.remove(attempt);
        }

        @Override public void closeIdleConnections(String name) {}

        void pass(double millis) {
            now += millis;
            for (Attempt attempt; (attempt = waiting.poll()) != null;) {
                if (attempt.maySend()) {
                    RespCommand command = ((RespCall) attempt.request().message()).command();
                    node.writeOutbound(command.forNode(attempt.remaining()));
                    ReferenceCountUtil.release(node.readOutbound());
                    node.writeInbound(ascii(ANSWER));
                    RedisMessage answer = node.readInbound();
                    attempt.ended(RespBackend.read(answer, false));
                    ReferenceCountUtil.release(answer);
                }
            }
            for (Due due : List.copyOf(dues)) {
                if (due.at <= now && dues.remove(due)) {
                    due.task.run();
                }
            }
        }
    }
}
