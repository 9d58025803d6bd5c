package kelphollow.program;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.function.Supplier;
import java.util.logging.Logger;
import kelphollow.protocol.mgmt.MgmtServer;
import kelphollow.protocol.resp.RespWarmup;
import kelphollow.transport.WheelTicker;
import org.kohsuke.args4j.Option;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** {@code serve}: the scheduler. Listens once it is warm and leaves on SIGTERM. */
public final class Serve implements Main.Command {
    /** Resolution of the ticker, in milliseconds. */
    static final long TICK = 2;
    private static final Logger LOG = Logger.getLogger(Serve.class.getName());
    // In milliseconds: the process before is killed at the latest 6 s after the start and 3.7 s after that.
    private static final double HANDOVER_TIMEOUT = 12_000;
    // In milliseconds; without a response of discovery a start then goes on from the list it was given.
    private static final long DISCOVERY_TIMEOUT = 300;

    /** What a configuration has started. */
    private record Started(Scheduler scheduler, InetSocketAddress address, PlatformConfig.Operations operations,
                           double longestDeadline, Supplier<Path> maintenanceFile, ReloadSignal.Reload reload) {}

    @Option(name = "--config", metaVar = "FILE", usage = "serve the object API as this file says")
    private String file;

    @Override public int run(PrintStream out, PrintStream err) throws ConfigurationException, InterruptedException {
        // Until the clients' socket is open nothing has been taken, so an end by SIGTERM is in order at once.
        SignalHandler defaultTerm = Signal.handle(new Signal("TERM"), signal -> Runtime.getRuntime().halt(0));
        ReloadSignal reloadSignal = new ReloadSignal();
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        WheelTicker ticker = new WheelTicker(loop, TICK);
        Started started = file == null ? startPlatform(loop, ticker) : startGateway(loop, ticker);
        Scheduler scheduler = started.scheduler();
        Management management = started.operations().management() == null ? null
            : manage(scheduler, started.operations().management(), started.maintenanceFile().get());
        Thread shutdown = new GracefulShutdown(scheduler, management, started.longestDeadline()).register();
        Signal.handle(new Signal("TERM"), defaultTerm);
        InetSocketAddress address = null;
        try {
            address = started.operations().inheritsSocket() ? takeOver(scheduler, management)
                : scheduler.listen(started.address());
        } finally {
            if (address == null) {         // a start that failed must not look like an end in order
                Runtime.getRuntime().removeShutdownHook(shutdown);
            }
        }
        InetSocketAddress open = address;
        LOG.info(() -> "serves at " + Addresses.text(open));
        if (management != null) {
            management.listening((double) System.currentTimeMillis());
        }
        reloadSignal.activate(started.reload());
        group.terminationFuture().sync();
        return 1;
    }

    private Started startGateway(EventLoop loop, WheelTicker ticker) throws ConfigurationException {
        ObjectConfig config = ObjectConfig.read(file);
        ObjectScheduler scheduler = ObjectScheduler.start(config, loop, ticker);
        return new Started(scheduler, config.listen(), new PlatformConfig.Operations(config.management(), false),
            ShutdownSchedule.longestDeadline(config.settings()), () -> MaintenanceFile.path(config.name()),
            () -> scheduler.reload(ObjectConfig.read(file)));
    }

    private static Started startPlatform(EventLoop loop, WheelTicker ticker)
        throws ConfigurationException, InterruptedException {
        PlatformConfig config = PlatformConfig.read(System.getenv());
        // Discovery is polled first: what it has reported since the list in the file binds from the first request on.
        PlatformScheduler scheduler = PlatformScheduler.start(config, loop, ticker);
        RespWarmup.run(config.settings(), config.seed());
        scheduler.awaitFirstResponse(DISCOVERY_TIMEOUT);
        return new Started(scheduler, config.listen(), config.operations(),
            ShutdownSchedule.longestDeadline(config.settings()), MaintenanceFile::path,
            () -> scheduler.reload(PlatformConfig.read(System.getenv())));
    }

    /** The management address, on an event loop of its own; nodes in maintenance before are so from the start. */
    private static Management manage(Scheduler scheduler, InetSocketAddress address, Path maintenanceFile) {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Management management = new Management(scheduler, loop, maintenanceFile);
        management.start();
        InetSocketAddress bound = new MgmtServer(loop, management).listen(address);
        LOG.info(() -> "management at " + Addresses.text(bound));
        return management;
    }

    /**
     * Takes clients from the handed-down socket. While the process before still serves, this one says it is ready but
     * takes nobody until that one has stopped and handed over its limits: one scheduler spends them, never two.
     */
    private static InetSocketAddress takeOver(Scheduler scheduler, Management management)
        throws ConfigurationException, InterruptedException {
        ServerSocketChannel channel = inheritedSocket();
        if (management != null) {
            long predecessor = management.handover().otherProcess();
            if (predecessor != ProcessHandover.NO_PROCESS) {
                management.listening((double) System.currentTimeMillis());
                LOG.info(() -> "waits for process " + predecessor + " to hand over");
                scheduler.restoreLimits(management.handover().await(predecessor, HANDOVER_TIMEOUT));
            }
        }
        return scheduler.listen(channel);
    }

    /** Descriptor 0, when the platform hands down the clients' listening socket. */
    private static ServerSocketChannel inheritedSocket() throws ConfigurationException {
        try {
            if (System.inheritedChannel() instanceof ServerSocketChannel channel) {
                return channel;
            }
        } catch (IOException e) {
            throw ConfigurationException.failed("GW_SOCKET_FD", e.getMessage());
        }
        throw new ConfigurationException("GW_SOCKET_FD: descriptor 0 is no listening TCP socket");
    }
}
