package kelphollow.scale;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DatagramPacket;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import kelphollow.fleet.Fleet;
import kelphollow.protocol.peer.ChannelStages;
import kelphollow.protocol.peer.Packet;
import kelphollow.protocol.peer.PeerLine;
import kelphollow.protocol.peer.PeerListener;
import kelphollow.routing.Ticker;
import kelphollow.transport.WheelTicker;
import org.HdrHistogram.Histogram;

/**
 * Instances on a few event loops with sockets of their own at loopback addresses. Delay, loss and cuts are stages of each
 * line's channels: on what hollow instances send, and on what comes to them from processes, whose lines are as in service.
 */
final class SocketHost implements FleetHost {
    // The wheel's tick, as a scheduler of the lab has it.
    private static final long TICK = 2;
    private static final long BEAT = 10;
    private static final int DIGITS = 3;
    private static final int BIND_TRIES = 40;
    private static final long BIND_PAUSE = 50;

    private final NetworkModel network;
    private final IntPredicate isProcess;
    private final MultiThreadIoEventLoopGroup group;
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<WheelTicker> tickers = new ArrayList<>();
    private final List<ScheduledFuture<?>> beats = new ArrayList<>();
    private final Histogram late = new Histogram(DIGITS);

    /** @param isProcess which instances are processes of their own */
    SocketHost(NetworkModel network, int loopCount, IntPredicate isProcess) {
        this.network = network;
        this.isProcess = isProcess;
        this.group = new MultiThreadIoEventLoopGroup(loopCount, new DefaultThreadFactory("scale", true),
            NioIoHandler.newFactory());
        for (int i = 0; i < loopCount; i++) {
            EventLoop loop = group.next();
            loops.add(loop);
            tickers.add(new WheelTicker(loop, TICK));
            beats.add(beat(loop));
        }
    }

    private ScheduledFuture<?> beat(EventLoop loop) {
        long from = System.nanoTime();
        long[] count = {0};
        return loop.scheduleAtFixedRate(() -> {
            long due = from + TimeUnit.MILLISECONDS.toNanos(BEAT * ++count[0]);
            long millis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - due));
            synchronized (late) {
                late.recordValue(millis);
            }
        }, BEAT, BEAT, TimeUnit.MILLISECONDS);
    }

    private EventLoop loop(int instance) {
        return loops.get(instance % loops.size());
    }

    @Override public Ticker ticker(int instance, Gate gate) {
        WheelTicker wheel = tickers.get(instance % tickers.size());
        return new Ticker() {
            @Override public double now() {
                return wheel.now();
            }

            @Override public Timeout after(double millis, Runnable task) {
                return wheel.after(millis, () -> gate.run(task));
            }
        };
    }

    @Override public Fleet.Transports transports(int instance, Gate gate, byte[] key, int mostMembers) {
        return (name, epoch, peers) -> new PeerLine(loop(instance), name, epoch, key, mostMembers,
            new GatedPeers(instance, gate, peers), new Delays(instance));
    }

    @Override public void open(int instance, Fleet fleet) throws IOException {
        InetSocketAddress at = network.addressOf(instance);
        for (int tries = 1;; tries++) {
            try {
                fleet.transport().listen(at);
                return;
            } catch (IOException e) {
                if (tries == BIND_TRIES) {   // the life before has the port until its channels are closed
                    throw e;
                }
                sleep(BIND_PAUSE);
            }
        }
    }

    private static void sleep(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    @Override public <T> T call(int instance, Callable<T> task) {
        return loop(instance).submit(task).syncUninterruptibly().getNow();
    }

    @Override public double now() {
        return tickers.get(0).now();
    }

    @Override public void advance(double millis) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep((long) (millis * 1e6));
    }

    @Override public double lateness() {
        synchronized (late) {
            double p99 = late.getTotalCount() == 0 ? 0 : late.getValueAtPercentile(99);
            late.reset();
            return p99;
        }
    }

    @Override public void close() {
        beats.forEach(b -> b.cancel(false));
        tickers.forEach(WheelTicker::close);
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** A stopped instance hears nothing until it wakes, and answers no exchange. */
    private final class GatedPeers implements PeerListener {
        private final int self;
        private final Gate gate;
        private final PeerListener peers;

        GatedPeers(int self, Gate gate, PeerListener peers) {
            this.self = self;
            this.gate = gate;
            this.peers = peers;
        }

        @Override public void membershipReceived(String from, Packet.Membership packet) {
            gate.run(() -> peers.membershipReceived(from, packet));
        }

        @Override public void comparisonReceived(String from, Packet.Comparison packet) {
            gate.run(() -> peers.comparisonReceived(from, packet));
        }

        @Override public Packet.FullExchange exchangeRequested(String from, Packet.FullExchange theirs) {
            if (!gate.isOpen() || network.isCut(ScaleScenario.indexOf(from), self)) {
                throw new IllegalStateException("stopped or cut off");   // the line ends the connection
            }
            return peers.exchangeRequested(from, theirs);
        }

        @Override public void exchangeAnswered(String from, Packet.FullExchange theirs) {
            gate.run(() -> peers.exchangeAnswered(from, theirs));
        }
    }

    /** Stages of one instance's line. */
    private final class Delays implements ChannelStages {
        private final int self;

        Delays(int self) {
            this.self = self;
        }

        @Override public void datagrams(ChannelPipeline pipeline) {
            pipeline.addLast(new DatagramDelay(self));
        }

        @Override public void exchange(ChannelPipeline pipeline) {
            pipeline.addLast(new ExchangeDelay(self));
        }
    }

    /** Holds a datagram back for as long as the network takes, or drops it. */
    private final class DatagramDelay extends ChannelDuplexHandler {
        private final int self;

        DatagramDelay(int self) {
            this.self = self;
        }

        @Override public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            DatagramPacket packet = (DatagramPacket) message;
            int to = network.instanceAt(packet.recipient());
            double takes = to < 0 ? NetworkModel.LOST : network.datagram(self, to);
            pass(takes, ctx, packet, () -> ctx.writeAndFlush(packet, promise));
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            DatagramPacket packet = (DatagramPacket) message;
            int from = network.instanceAt(packet.sender());
            if (from >= 0 && isProcess.test(from)) {
                pass(network.datagram(from, self), ctx, packet, () -> ctx.fireChannelRead(packet));
            } else {
                ctx.fireChannelRead(packet);
            }
        }

        private void pass(double takes, ChannelHandlerContext ctx, DatagramPacket packet, Runnable on) {
            if (Double.isNaN(takes)) {
                packet.release();
            } else {
                ctx.channel().eventLoop().schedule(() -> {
                    if (ctx.channel().isActive()) {
                        on.run();
                    } else {
                        packet.release();
                    }
                }, (long) (takes * 1e3), TimeUnit.MICROSECONDS);
            }
        }
    }

    /** Refuses a connection over a cut path, and holds its opening and each word back for as long as the network takes. */
    private final class ExchangeDelay extends ChannelDuplexHandler {
        private final int self;
        private int to = -1;
        private final InOrder writes = new InOrder(), reads = new InOrder();

        ExchangeDelay(int self) {
            this.self = self;
        }

        @Override public void connect(ChannelHandlerContext ctx, SocketAddress remote, SocketAddress local,
            ChannelPromise promise) {
            to = network.instanceAt((InetSocketAddress) remote);
            double there = to < 0 ? NetworkModel.LOST : network.reliable(self, to);
            double back = to < 0 ? NetworkModel.LOST : network.reliable(to, self);
            if (Double.isNaN(there + back)) {
                promise.tryFailure(new ConnectException("cut off"));
                ctx.close();
                return;
            }
            writes.after(ctx, there + back, () -> ctx.connect(remote, local, promise));
        }

        @Override public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            double takes = network.reliable(self, to);
            if (Double.isNaN(takes)) {
                ReferenceCountUtil.release(message);
                return;
            }
            writes.after(ctx, takes, () -> ctx.writeAndFlush(message, promise));
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            double takes = network.reliable(to, self);
            if (Double.isNaN(takes)) {
                ReferenceCountUtil.release(message);
                return;
            }
            reads.after(ctx, takes, () -> ctx.fireChannelRead(message));
        }

        /** The other side's end must not overtake what it said before. */
        @Override public void handlerAdded(ChannelHandlerContext ctx) {
            ctx.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        }

        @Override public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                reads.after(ctx, 0, ctx::close);
            } else {
                ctx.fireUserEventTriggered(event);
            }
        }
    }

    /** What goes one way over a connection: late, but never out of order. For one loop. */
    private static final class InOrder {
        private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
        private long lastAt = System.nanoTime();

        void after(ChannelHandlerContext ctx, double millis, Runnable task) {
            long now = System.nanoTime();
            lastAt = Math.max(lastAt, now + (long) (millis * 1e6));
            waiting.add(task);
            // Whichever timer comes first runs what was first.
            ctx.channel().eventLoop().schedule(() -> waiting.poll().run(), lastAt - now, TimeUnit.NANOSECONDS);
        }
    }
}
