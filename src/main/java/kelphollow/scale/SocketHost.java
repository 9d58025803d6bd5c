package kelphollow.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import java.util.function.Supplier;
import kelphollow.fleet.Fleet;
import kelphollow.protocol.peer.Packet;
import kelphollow.protocol.peer.PeerListener;
import kelphollow.protocol.peer.SocketPeerTransport;
import kelphollow.routing.Ticker;
import kelphollow.transport.WheelTicker;
import org.HdrHistogram.Histogram;

/**
 * Runs instances on a few event loops, each instance with its own sockets at a loopback address. {@link NetworkDelays}
 * handlers in the channels add delay, loss and partitions: to what simulated instances send, and to what they receive from
 * processes, whose own channels are unmodified. Confined to the run's thread.
 */
final class SocketHost implements FleetHost {
    /** Tick of the timer wheel in milliseconds, as in the lab's scheduler. */
    private static final long TICK_MILLIS = 2;
    /** Interval of the heartbeats that measure the lateness of the event loops. */
    private static final long HEARTBEAT_MILLIS = 10;
    private static final int DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int BIND_ATTEMPTS = 40;
    private static final long BIND_PAUSE_MILLIS = 50;

    private final NetworkModel network;
    private final IntPredicate isProcess;
    private final MultiThreadIoEventLoopGroup group;
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<WheelTicker> tickers = new ArrayList<>();
    private final List<ScheduledFuture<?>> heartbeats = new ArrayList<>();
    private final Histogram late = new Histogram(DIGITS);

    /** @param isProcess whether the instance with an index runs as a process */
    SocketHost(NetworkModel network, int loopCount, IntPredicate isProcess) {
        this.network = network;
        this.isProcess = isProcess;
        this.group = new MultiThreadIoEventLoopGroup(loopCount, new DefaultThreadFactory("scale", true),
            NioIoHandler.newFactory());
        for (int i = 0; i < loopCount; i++) {
            EventLoop loop = group.next();
            loops.add(loop);
            tickers.add(new WheelTicker(loop, TICK_MILLIS));
            heartbeats.add(heartbeat(loop));
        }
    }

    private ScheduledFuture<?> heartbeat(EventLoop loop) {
        long from = System.nanoTime();
        long[] count = {0};
        return loop.scheduleAtFixedRate(() -> {
            count[0]++;
            long due = from + TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MILLIS * count[0]);
            long millis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - due));
            synchronized (late) {
                late.recordValue(millis);
            }
        }, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private EventLoop loop(int instance) {
        return loops.get(instance % loops.size());
    }

    @Override public Ticker ticker(int instance, SuspendableExecutor process) {
        WheelTicker wheel = tickers.get(instance % tickers.size());
        return new Ticker() {
            @Override public double now() {
                return wheel.now();
            }

            @Override public Timeout after(double millis, Runnable task) {
                return wheel.after(millis, () -> process.execute(task));
            }
        };
    }

    @Override public Fleet.TransportFactory transports(int instance, SuspendableExecutor process, byte[] key,
        int maxMembers) {
        return (name, epoch, peers) -> new SocketPeerTransport(loop(instance), name, epoch, key, maxMembers,
            new SuspendablePeers(instance, process, peers), new NetworkDelays(network, instance, isProcess));
    }

    @Override public void open(int instance, Fleet fleet) throws IOException {
        InetSocketAddress at = network.addressOf(instance);
        for (int attempt = 1;; attempt++) {
            try {
                fleet.transport().listen(at);
                return;
            } catch (IOException e) {
                if (attempt == BIND_ATTEMPTS) {   // the instance's previous run holds the port until its channels close
                    throw e;
                }
                sleep(BIND_PAUSE_MILLIS);
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

    @Override public <T> T call(int instance, Supplier<T> task) {
        return loop(instance).submit(task::get).syncUninterruptibly().getNow();
    }

    @Override public double now() {
        return tickers.get(0).now();
    }

    @Override public void advance(double millis) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep((long) (millis * NANOS_PER_MILLI));
    }

    @Override public double p99Lateness() {
        synchronized (late) {
            double p99 = late.getTotalCount() == 0 ? 0 : late.getValueAtPercentile(99);
            late.reset();
            return p99;
        }
    }

    @Override public void close() {
        heartbeats.forEach(heartbeat -> heartbeat.cancel(false));
        tickers.forEach(WheelTicker::close);
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Delays what a suspended instance receives until it is resumed, and fails full exchanges meanwhile. */
    private final class SuspendablePeers implements PeerListener {
        private final int self;
        private final SuspendableExecutor process;
        private final PeerListener peers;

        SuspendablePeers(int self, SuspendableExecutor process, PeerListener peers) {
            this.self = self;
            this.process = process;
            this.peers = peers;
        }

        @Override public void membershipReceived(String from, Packet.Membership packet) {
            process.execute(() -> peers.membershipReceived(from, packet));
        }

        @Override public void comparisonReceived(String from, Packet.Comparison packet) {
            process.execute(() -> peers.comparisonReceived(from, packet));
        }

        @Override public Packet.FullExchange exchangeRequested(String from, Packet.FullExchange theirs) {
            if (!process.isRunning() || network.isPartitioned(ScaleScenario.indexOf(from), self)) {
                throw new IllegalStateException("instance is not running or is partitioned");   // closes the connection
            }
            return peers.exchangeRequested(from, theirs);
        }

        @Override public void exchangeAnswered(String from, Packet.FullExchange theirs) {
            process.execute(() -> peers.exchangeAnswered(from, theirs));
        }
    }
}
