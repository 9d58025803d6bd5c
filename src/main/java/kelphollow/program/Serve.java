package kelphollow.program;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.Logger;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.protocol.mgmt.MgmtServer;
import kelphollow.protocol.resp.RespWarmup;
import kelphollow.routing.Invariant;
import kelphollow.transport.WheelTicker;
import org.kohsuke.args4j.Option;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** {@code serve}: the scheduler. Listens once it is warm and leaves on SIGTERM. */
public final class Serve implements Main.Command {
    private static final Logger LOG = Logger.getLogger(Serve.class.getName());
    static final long TICK = 2;
    // Nothing waits longer than the longest deadline; the rest is for answers on their way to slow readers.
    private static final double LEAVE_SLACK = 500;
    // The process before is killed at the latest 6 s after the start and 3.7 s after that.
    private static final double HANDOVER_MOST = 12_000;

    // A start goes on without discovery that says nothing for so long, from the list it was given.
    private static final long LIST_MOST = 300;

    @Option(name = "--config", metaVar = "FILE", usage = "serve the object API as this file says")
    private String file;

    @Override public int run(PrintStream out, PrintStream err) throws Config.Bad, InterruptedException {
        // Until the clients' socket is open nothing has been taken, so an end by SIGTERM is in order at once.
        SignalHandler usual = Signal.handle(new Signal("TERM"), signal -> Runtime.getRuntime().halt(0));
        // A new configuration may be told before clients are taken: it is read once they are. Unhandled it would end all.
        AtomicBoolean told = new AtomicBoolean();
        boolean ignored = Signal.handle(new Signal("HUP"), signal -> told.set(true)) == SignalHandler.SIG_IGN;
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        WheelTicker ticker = new WheelTicker(loop, TICK);
        Scheduler scheduler;
        ControlSettings settings;
        InetSocketAddress address;
        Config.Operations operations;
        String name = null;
        if (file != null) {
            ObjectConfig config = ObjectConfig.read(file);
            settings = config.settings();
            address = config.listen();
            name = config.name();
            scheduler = Scheduler.of(config, loop, ticker);
            operations = new Config.Operations(config.mgmt(), false);
        } else {
            Config config = Config.platform(System.getenv());
            settings = config.settings();
            address = config.listen();
            operations = config.operations();
            // Discovery is asked first: what it has told since the list in the file binds from the first request on.
            scheduler = Scheduler.of(config, loop, ticker);
            RespWarmup.run(settings, config.seed());
            scheduler.awaitList(LIST_MOST);
        }
        Management management = operations.mgmt() == null ? null
            : manage(scheduler, operations.mgmt(), file == null ? Management.bansFile() : Management.bansFile(name));
        Thread leave = leaveOnTerm(scheduler, settings, management);
        Signal.handle(new Signal("TERM"), usual);
        InetSocketAddress at = null;
        try {
            at = operations.inherited() ? takeOver(scheduler, management) : scheduler.listen(address);
        } finally {
            if (at == null) {              // a start that failed must not look like an end in order
                Runtime.getRuntime().removeShutdownHook(leave);
            }
        }
        InetSocketAddress open = at;
        LOG.info(() -> "serves at " + Scheduler.text(open));
        if (management != null) {
            management.listening(System.currentTimeMillis());
        }
        Signal.handle(new Signal("HUP"), signal -> reload(scheduler));
        if (told.get()) {
            reload(scheduler);
        }
        if (ignored) {
            LOG.warning("SIGHUP is ignored, as whoever started this program left it (nohup does): new configurations"
                + " will not be read");
        }
        group.terminationFuture().sync();
        return 1;
    }

    /** The management address, on an event loop of its own; the bans of an earlier process are taken first. */
    private static Management manage(Scheduler scheduler, InetSocketAddress at, java.nio.file.Path bans) {
        EventLoop own = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Management management = new Management(scheduler, own, bans);
        management.start();
        InetSocketAddress bound = new MgmtServer(own, management).listen(at);
        LOG.info(() -> "management at " + Scheduler.text(bound));
        return management;
    }

    /**
     * Takes clients from the handed-down socket. While the process before still serves, this one says it is ready but
     * takes nobody until that one has stopped and handed over its limits: one scheduler spends them, never two.
     */
    private static InetSocketAddress takeOver(Scheduler scheduler, Management management)
        throws Config.Bad, InterruptedException {
        ServerSocketChannel channel = inherited();
        if (management != null) {
            long before = management.other();
            if (before >= 0) {
                management.listening(System.currentTimeMillis());
                LOG.info(() -> "waits for process " + before + " to hand over");
                scheduler.restoreLimits(management.awaitHandover(before, HANDOVER_MOST));
            }
        }
        return scheduler.listen(channel);
    }

    /** Descriptor 0, when the platform hands down the clients' listening socket. */
    private static ServerSocketChannel inherited() throws Config.Bad {
        try {
            if (System.inheritedChannel() instanceof ServerSocketChannel channel) {
                return channel;
            }
        } catch (IOException e) {
            throw new Config.Bad("GW_SOCKET_FD: " + e.getMessage());
        }
        throw new Config.Bad("GW_SOCKET_FD: descriptor 0 is no listening TCP socket");
    }

    /** Guards against a file that is bad or half written: it is read whole, and if it has a fault all stays as it was. */
    private void reload(Scheduler scheduler) {
        try {
            if (file != null) {
                scheduler.reload(ObjectConfig.read(file));
            } else {
                scheduler.reload(Config.platform(System.getenv()));
            }
            LOG.info("read the configuration again");
        } catch (Config.Bad | RuntimeException e) {
            LOG.severe("configuration, the last good one stands: " + e.getMessage());
        }
    }

    private static Thread leaveOnTerm(Scheduler scheduler, ControlSettings settings, Management management) {
        double longest = settings.classes().stream().mapToDouble(RequestClass::deadline).max().orElse(0);
        Thread leave = new Thread(() -> {
            if (management != null) {
                management.leaving();
            }
            CountDownLatch left = new CountDownLatch(1);
            scheduler.leave(left::countDown);
            if (management != null && scheduler.inherited()) {
                try {
                    management.handOver(scheduler.onLoop(router -> router.limitTokens()).get(500, TimeUnit.MILLISECONDS));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
                    management.handOver(java.util.Map.of());
                }
            }
            boolean all = false;
            try {
                all = left.await((long) (scheduler.serveOn() + longest + LEAVE_SLACK), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            LOG.info(scheduler.counters());
            if (all) {
                scheduler.end();
            } else {
                scheduler.close();
            }
            System.err.println("kelphollow: left" + (all ? "" : " with connections open") + "; "
                + Invariant.broken() + " invariants broken");
            Runtime.getRuntime().halt(0);   // an exit by signal would tell of a failure
        }, "leave");
        Runtime.getRuntime().addShutdownHook(leave);
        return leave;
    }
}
