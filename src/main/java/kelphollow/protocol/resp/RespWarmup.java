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
import kelphollow.transport.ClientMemory;

/**
 * Runs requests through a separate router without sockets before the real one listens, so that the first clients do not
 * wait for class loading and compilation.
 */
public final class RespWarmup {
    private static final int REQUESTS = 200;
    private static final long MAX_NANOS = 2_000_000_000L;
    private static final int NODES = 4;
    private static final int VOLUMES = 40;
    private static final String REPLY = "*3\r\n$5\r\nvalue\r\n$6\r\ncost=2\r\n$10\r\ninflight=3\r\n";

    private RespWarmup() {}

    /** Runs the warm-up for at most two seconds; returns the number of requests that got a value. */
    public static int run(ControlSettings settings, long seed) {
        long end = System.nanoTime() + MAX_NANOS;
        SimulatedEnvironment environment = new SimulatedEnvironment();
        RequestRouter router = new RequestRouter(new Control(settings, seed, environment.now()), environment, environment);
        router.disableLogging();
        router.restoreEndpoints(endpoints());
        router.start(() -> {}, false);
        EmbeddedChannel client = new EmbeddedChannel();
        new RespFront(router, environment, settings, 1, ClientMemory.ofHeap(), new RecentForwardedIds()).accept(client);
        int served = 0;
        for (int i = 0; i < REQUESTS && System.nanoTime() < end; i++) {
            client.writeInbound(command(i, settings));
            environment.advance(i % 7 == 0 ? 60 : 3);
            served += readReplies(client);
        }
        client.finishAndReleaseAll();
        environment.node.finishAndReleaseAll();
        return served;
    }

    private static List<ResolvedEndpoint> endpoints() {
        List<ResolvedEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            Endpoint endpoint = new Endpoint("n" + i, "", i, EndpointState.HEALTHY, 0);
            endpoints.add(new ResolvedEndpoint(endpoint, new InetSocketAddress(0)));
        }
        return endpoints;
    }

    private static ByteBuf command(int number, ControlSettings settings) {
        var requestClass = settings.classes().get(number % settings.classes().size());
        var plan = settings.plans().get(number % settings.plans().size());
        String fields = "k=" + number + ",c=" + requestClass.name() + ",t=" + plan.name() + ",d=1000,volume="
            + number % VOLUMES + ",units=2,shard=" + number % NODES + ",hosts=2";
        return ascii("*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$" + fields.length() + "\r\n" + fields + "\r\n");
    }

    /** Reads and releases all replies; returns how many of them are values. */
    private static int readReplies(EmbeddedChannel client) {
        int values = 0;
        for (ByteBuf reply; (reply = client.readOutbound()) != null;) {
            values += reply.isReadable() && reply.getByte(reply.readerIndex()) == '$' ? 1 : 0;
            reply.release();
        }
        return values;
    }

    private static ByteBuf ascii(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    /** A manually advanced clock, and nodes that reply whenever it advances. */
    private static final class SimulatedEnvironment implements Ticker, Backend {
        /** Not a record: linking the generated {@code equals} of a record takes as long as many requests. */
        private static final class Timer {
            final double dueAt;
            final Runnable task;

            Timer(double dueAt, Runnable task) {
                this.dueAt = dueAt;
                this.task = task;
            }
        }

        final EmbeddedChannel node = new EmbeddedChannel();
        private final List<Timer> timers = new ArrayList<>();
        private final ArrayDeque<Attempt> pending = new ArrayDeque<>();
        private double now = 1_000;

        SimulatedEnvironment() {
            node.pipeline().addLast(RespCodec.forNode());
        }

        @Override public double now() {
            return now;
        }

        @Override public Timeout after(double millis, Runnable task) {
            Timer timer = new Timer(now + millis, task);
            timers.add(timer);
            return () -> timers.remove(timer);
        }

        @Override public void start(Attempt attempt) {
            pending.add(attempt);
        }

        @Override public void cancel(Attempt attempt) {
            pending.remove(attempt);
        }

        @Override public void closeIdleConnections(String name) {}

        void advance(double millis) {
            now += millis;
            for (Attempt attempt; (attempt = pending.poll()) != null;) {
                if (attempt.maySend()) {
                    serve(attempt);
                }
            }
            for (Timer timer : List.copyOf(timers)) {
                if (timer.dueAt <= now && timers.remove(timer)) {
                    timer.task.run();
                }
            }
        }

        private void serve(Attempt attempt) {
            RespCommand command = ((RespRequest) attempt.request().message()).command();
            node.writeOutbound(command.forNode(attempt.remaining()));
            ReferenceCountUtil.release(node.readOutbound());
            node.writeInbound(ascii(REPLY));
            for (Object message; (message = node.readInbound()) != null;) {
                if (message instanceof RedisMessage reply) {
                    attempt.ended(NodeReply.read(reply, false));
                }
                ReferenceCountUtil.release(message);
            }
        }
    }
}
