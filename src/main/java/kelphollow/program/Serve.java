package kelphollow.program;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import kelphollow.decision.Control;
import kelphollow.protocol.discovery.DiscoveryWatch;
import kelphollow.protocol.resp.RespBackend;
import kelphollow.protocol.resp.RespFront;
import kelphollow.protocol.resp.RespWarmup;
import kelphollow.routing.Core;
import kelphollow.routing.Invariant;
import kelphollow.transport.HttpCall;
import kelphollow.transport.Pools;
import kelphollow.transport.Server;
import kelphollow.transport.WheelTicker;

/** {@code serve}: the scheduler. Wires the parts together, listens once it is warm, and leaves on SIGTERM. */
public final class Serve implements Main.Command {
    private static final Logger LOG = Logger.getLogger(Serve.class.getName());
    private static final long TICK = 2;
    // After SIGTERM new connections keep coming for up to 0.4 s; they are taken for a little longer than that.
    private static final double LISTEN_ON = 450;
    // Nothing waits longer than the longest deadline; the rest is for answers on their way to slow readers.
    private static final double LEAVE_SLACK = 500;

    @Override public int run(PrintStream out, PrintStream err) throws Config.Bad, InterruptedException {
        Config config = Config.platform(System.getenv());
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        WheelTicker ticker = new WheelTicker(loop, TICK);
        RespWarmup.run(config.settings(), config.seed());
        CountDownLatch left = new CountDownLatch(1);
        // Half of the descriptors for nodes, the rest for clients and what the program itself holds open.
        Server server = new Server(config.sockets() * 2 / 5);
        RespFront[] front = new RespFront[1];
        loop.submit(() -> {
            Pools pools = new Pools(loop, ticker,
                new Pools.Limits(config.dialTimeout(), config.idleTime(), config.sockets() / 2), RespBackend::codec);
            Core core = new Core(new Control(config.settings(), config.seed(), ticker.now()), ticker,
                new RespBackend(pools));
            core.learn(config.known().members(), true, true);
            core.start(new DiscoveryWatch(new HttpCall(loop, ticker, config.discovery()),
                config.discovery().getHostString() + ":" + config.discovery().getPort(), core,
                config.known().version()));
            front[0] = new RespFront(core, ticker);
        }).syncUninterruptibly();
        server.listen(loop, config.listen(), front[0]);
        LOG.info(() -> config.name() + " serves at " + config.listen());
        double longest = config.settings().classes().stream().mapToDouble(c -> c.deadline()).max().orElse(0);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            loop.execute(() -> ticker.after(LISTEN_ON, () -> {
                server.stop();
                front[0].leave(left::countDown);
            }));
            int code = 0;
            try {
                if (!left.await((long) (LISTEN_ON + longest + LEAVE_SLACK), TimeUnit.MILLISECONDS)) {
                    LOG.warning("left with connections open");
                }
            } catch (InterruptedException e) {
                code = 1;
            }
            System.err.println("kelphollow: left; " + Invariant.broken() + " invariants broken");
            Runtime.getRuntime().halt(code);   // an exit by signal would report failure
        }, "leave"));
        group.terminationFuture().sync();
        LOG.log(Level.SEVERE, "the event loop has ended");
        return 1;
    }
}
