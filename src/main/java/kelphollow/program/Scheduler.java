package kelphollow.program;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import kelphollow.decision.Control;
import kelphollow.protocol.discovery.DiscoveryWatch;
import kelphollow.protocol.object.ObjectBackend;
import kelphollow.protocol.object.ObjectFront;
import kelphollow.protocol.resp.RespBackend;
import kelphollow.protocol.resp.RespFront;
import kelphollow.protocol.xds.XdsPoll;
import kelphollow.routing.Core;
import kelphollow.routing.Directory;
import kelphollow.routing.Ticker;
import kelphollow.transport.Front;
import kelphollow.transport.HttpCall;
import kelphollow.transport.Pools;
import kelphollow.transport.Server;

/** One scheduler, wired: a front, the core with its module, a backend and a directory, all on one event loop. */
final class Scheduler {
    // After SIGTERM new connections keep coming for up to 0.4 s; they are taken for a little longer than that.
    static final double LISTEN_ON = 450;
    private final EventLoop loop;
    private final Ticker ticker;
    private final Server server;
    private Front front;

    private Scheduler(EventLoop loop, Ticker ticker, int sockets) {
        this.loop = loop;
        this.ticker = ticker;
        // Two fifths of the descriptors for clients, half for nodes, the rest for what the program itself holds open.
        this.server = new Server(sockets * 2 / 5);
    }

    /** The scheduler of the platform. */
    static Scheduler of(Config config, EventLoop loop, Ticker ticker) {
        Scheduler scheduler = new Scheduler(loop, ticker, config.sockets());
        loop.submit(() -> {
            Pools pools = new Pools(loop, ticker,
                new Pools.Limits(config.dialTimeout(), config.idleTime(), config.sockets() / 2), RespBackend::codec);
            Core core = new Core(new Control(config.settings(), config.seed(), ticker.now()), ticker,
                new RespBackend(pools));
            core.learn(config.known().members(), true, true);
            core.start(new DiscoveryWatch(new HttpCall(loop, ticker, config.discovery()), text(config.discovery()),
                core, config.known().version()));
            scheduler.front = new RespFront(core, ticker);
        }).syncUninterruptibly();
        return scheduler;
    }

    /** The gateway of the object API. */
    static Scheduler of(ObjectConfig config, EventLoop loop, Ticker ticker) {
        Scheduler scheduler = new Scheduler(loop, ticker, config.sockets());
        loop.submit(() -> {
            Pools pools = new Pools(loop, ticker,
                new Pools.Limits(config.dialTimeout(), config.idleTime(), config.sockets() / 2), ObjectBackend::codec);
            Core core = new Core(new Control(config.settings(), config.seed(), ticker.now()), ticker,
                new ObjectBackend(pools, ticker, config.stall()));
            ObjectConfig.Xds xds = config.xds();
            Directory directory = () -> { };
            if (xds.server() == null) {
                core.learn(xds.inline(), true, false);
            } else {
                core.learn(List.of(), true, true);
                directory = new XdsPoll(new HttpCall(loop, ticker, xds.server()), ticker, core, new XdsPoll.Query(
                    text(xds.server()), xds.cluster(), config.options().shards(), config.name(), "kelphollow",
                    xds.refresh()));
            }
            core.start(directory);
            if (xds.server() != null && !config.settings().listMustBeAsked()) {
                directory.watch();   // xDS by REST must be asked, whatever the settings say of the platform's list
            }
            scheduler.front = new ObjectFront(core, ticker, config.options());
        }).syncUninterruptibly();
        return scheduler;
    }

    /** Listens; returns the address with the port that was given. */
    InetSocketAddress listen(InetSocketAddress address) {
        return server.listen(loop, address, front);
    }

    /** Takes new connections a little longer, answers all that was taken, then runs the task. */
    void leave(Runnable whenLeft) {
        loop.execute(() -> ticker.after(LISTEN_ON, () -> {
            server.stop();
            front.leave(whenLeft);
        }));
    }

    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
