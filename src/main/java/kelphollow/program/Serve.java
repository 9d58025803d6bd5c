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
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.logging.Logger;
import kelphollow.protocol.mgmt.MgmtServer;
import kelphollow.protocol.object.ObjectWarmup;
import kelphollow.protocol.resp.RespWarmup;
import kelphollow.transport.WheelTicker;
import org.kohsuke.args4j.Option;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** {@code serve}: runs the scheduler. Listens once it is warmed up and shuts down on SIGTERM. */
public final class Serve implements Main.Command {
    /** Resolution of the ticker, in milliseconds. */
    static final long TICK_MS = 2;
    private static final Logger LOG = Logger.getLogger(Serve.class.getName());
    // The old process is killed at the latest 9.7 s after this one's start: 6 s, and 3.7 s after that.
    private static final double HANDOVER_TIMEOUT_MS = 12_000;
    // After this time without a response from discovery the start continues with the configured endpoint list.
    private static final long DISCOVERY_TIMEOUT_MS = 300;

    /** A scheduler that is started but does not listen yet, and the configuration that the rest of the start needs. */
    private record Started(Scheduler scheduler, InetSocketAddress address, PlatformConfig.Operations operations,
                           Supplier<Path> maintenanceFile, ReloadSignal.Reload reload) {}

    @Option(name = "--config", metaVar = "FILE", usage = "serve the object API as this file says")
    private String file;

    @Override public int run(PrintStream out, PrintStream err) throws ConfigurationException, InterruptedException {
        // No request can be lost before the clients' socket is open, so SIGTERM exits at once with code 0.
        SignalHandler defaultTerm = Signal.handle(new Signal("TERM"), signal -> Runtime.getRuntime().halt(0));
        ReloadSignal reloadSignal = new ReloadSignal();
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        WheelTicker ticker = new WheelTicker(loop, TICK_MS);
        Started started = file == null ? startPlatform(loop, ticker) : startGateway(loop, ticker);
        Scheduler scheduler = started.scheduler();
        Management management = started.operations().management() == null ? null
            : startManagement(scheduler, started.operations(), started.maintenanceFile().get());
        Thread shutdown = new GracefulShutdown(scheduler, management).register();
        Signal.handle(new Signal("TERM"), defaultTerm);
        InetSocketAddress address = null;
        try {
            address = started.operations().inheritsSocket() ? listenOnInheritedSocket(scheduler, management)
                : scheduler.listen(started.address());
        } finally {
            if (address == null) {         // the hook would exit with code 0 and hide the failed start
                Runtime.getRuntime().removeShutdownHook(shutdown);
            }
        }
        InetSocketAddress open = address;
        LOG.info(() -> "serves at " + Addresses.text(open));
        if (management != null) {
            management.listening();
        }
        reloadSignal.activate(started.reload());
        group.terminationFuture().sync();
        return 1;
    }

    private Started startGateway(EventLoop loop, WheelTicker ticker) throws ConfigurationException {
        ObjectConfig config = ObjectConfig.read(file);
        ObjectScheduler scheduler = ObjectScheduler.start(config, loop, ticker);
        ObjectWarmup.run(config.settings(), config.options(), config.seed());
        return new Started(scheduler, config.listen(), new PlatformConfig.Operations(config.management(), false),
            () -> MaintenanceFile.path(config.name()), () -> scheduler.reload(ObjectConfig.read(file)));
    }

    private static Started startPlatform(EventLoop loop, WheelTicker ticker)
        throws ConfigurationException, InterruptedException {
        PlatformConfig config = PlatformConfig.read(System.getenv());
        // Discovery is asked first, so that changes since the configured endpoint list apply from the first request on.
        PlatformScheduler scheduler = PlatformScheduler.start(config, loop, ticker);
        RespWarmup.run(config.settings(), config.seed());
        scheduler.awaitFirstResponse(DISCOVERY_TIMEOUT_MS);
        return new Started(scheduler, config.listen(), config.operations(), MaintenanceFile::path,
            () -> scheduler.reload(PlatformConfig.read(System.getenv())));
    }

    /** Starts the management server on its own event loop, after the stored maintenance has been applied. */
    private static Management startManagement(Scheduler scheduler, PlatformConfig.Operations operations,
        Path maintenanceFile) {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Management management = new Management(scheduler, loop, maintenanceFile, operations.inheritsSocket());
        management.start();
        InetSocketAddress bound = new MgmtServer(loop, management).listen(operations.management());
        LOG.info(() -> "management at " + Addresses.text(bound));
        return management;
    }

    /**
     * Listens on the inherited socket. While the old process still serves, this one reports ready but accepts no clients
     * until the old one has stopped and handed over its limits, so that two schedulers never use the same tokens.
     */
    private static InetSocketAddress listenOnInheritedSocket(Scheduler scheduler, Management management)
        throws ConfigurationException, InterruptedException {
        ServerSocketChannel channel = inheritedSocket();
        if (management != null) {
            long predecessor = management.handover().predecessor();
            if (predecessor != ProcessHandover.NO_PROCESS) {
                management.listening();
                LOG.info(() -> "waits for process " + predecessor + " to hand over its limits");
                Optional<Map<String, Double>> tokens = management.handover().await(predecessor, HANDOVER_TIMEOUT_MS);
                management.readSiblingList();
                scheduler.takeOver(tokens);
            }
        }
        return scheduler.listen(channel);
    }

    /** Returns the clients' listening socket, inherited from the platform as descriptor 0. */
    private static ServerSocketChannel inheritedSocket() throws ConfigurationException {
        try {
            if (System.inheritedChannel() instanceof ServerSocketChannel channel) {
                return channel;
            }
        } catch (IOException e) {
            throw ConfigurationException.failed("GW_SOCKET_FD", e.getMessage());
        }
        throw new ConfigurationException("GW_SOCKET_FD: descriptor 0 is not a listening TCP socket");
    }
}
