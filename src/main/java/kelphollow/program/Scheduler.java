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
    private Core core;
    private InetSocketAddress listAt;

    private Scheduler(EventLoop loop, Ticker ticker, int sockets) {
        this.loop = loop;
        this.ticker = ticker;
        this.server = new Server(clients(sockets));
    }

    /** Half of the descriptors are for clients, a third for nodes, the rest for what the program itself holds open. */
    private static int clients(int sockets) {
        return sockets / 2;
    }

    private static int nodes(int sockets) {
        return sockets / 3;
    }

    /** The scheduler of the platform. */
    static Scheduler of(Config config, EventLoop loop, Ticker ticker) {
        Scheduler scheduler = new Scheduler(loop, ticker, config.sockets());
        loop.submit(() -> {
            Pools pools = new Pools(loop, ticker,
                new Pools.Limits(config.dialTimeout(), config.idleTime(), nodes(config.sockets())), RespBackend::codec);
            Core core = scheduler.core = new Core(new Control(config.settings(), config.seed(), ticker.now()), ticker,
                new RespBackend(pools, ticker));
            core.learn(config.known().members(), true, true);
            scheduler.listAt = config.discovery();
            core.start(scheduler.watch(config.discovery(), config.known().version()));
            scheduler.front = new RespFront(core, ticker, config.settings(), clients(config.sockets()));
        }).syncUninterruptibly();
        return scheduler;
    }

    /** The gateway of the object API. */
    static Scheduler of(ObjectConfig config, EventLoop loop, Ticker ticker) {
        Scheduler scheduler = new Scheduler(loop, ticker, config.sockets());
        loop.submit(() -> {
            Pools pools = new Pools(loop, ticker,
                new Pools.Limits(config.dialTimeout(), config.idleTime(), nodes(config.sockets())), ObjectBackend::codec);
            Core core = scheduler.core = new Core(new Control(config.settings(), config.seed(), ticker.now()), ticker,
                new ObjectBackend(pools, ticker, config.stall()));
            ObjectConfig.Xds xds = config.xds();
            Directory directory = () -> { };
            if (xds.server() == null) {
                core.learn(xds.inline(), true, false);
            } else {
                core.learn(List.of(), true, true);
                directory = scheduler.poll(config);
            }
            core.start(directory);
            if (xds.server() != null && !config.settings().listMustBeAsked()) {
                directory.watch();   // xDS by REST must be asked, whatever the settings say of the platform's list
            }
            scheduler.front = new ObjectFront(core, ticker, config.options());
        }).syncUninterruptibly();
        return scheduler;
    }

    private DiscoveryWatch watch(InetSocketAddress discovery, long version) {
        return new DiscoveryWatch(new HttpCall(loop, ticker, discovery), text(discovery), core, version);
    }

    private XdsPoll poll(ObjectConfig config) {
        ObjectConfig.Xds xds = config.xds();
        return new XdsPoll(new HttpCall(loop, ticker, xds.server()), ticker, core, new XdsPoll.Query(text(xds.server()),
            xds.cluster(), config.options().shards(), config.name(), "kelphollow", xds.refresh()));
    }

    /**
     * Follows a new configuration in what can change while requests are open: where the node list comes from. The
     * new service is asked for the whole list, since its versions have nothing to do with those of the old one.
     */
    void reload(Config config) {
        loop.execute(() -> {
            if (!config.discovery().equals(listAt)) {
                listAt = config.discovery();
                core.follow(watch(listAt, -1));
            }
        });
    }

    /** The same for the object API: the cluster is read or asked for anew. */
    void reload(ObjectConfig config) {
        loop.execute(() -> {
            if (config.xds().server() == null) {
                core.follow(() -> { });
                core.learn(config.xds().inline(), true, false);
            } else {
                core.follow(poll(config));
            }
        });
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
