package kelphollow.program;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import kelphollow.decision.Control;
import kelphollow.decision.ControlApi.RequestClass;
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
    private static final double LISTEN_ON = 450;
    // The platform kills no sooner than the longest deadline, counted as 3 s where it is longer, and 0.7 s after SIGTERM.
    private static final double LONGEST_COUNTED = 3_000;
    private static final double KILLED_AFTER = 700;
    // So long before that all has been answered, with time for what is slow on its way.
    private static final double LAST_ANSWERS = 350;
    // And so long before it connections that are owed nothing close: enough for most requests to be served.
    private static final double LAST_REQUESTS = 1_300;
    private final EventLoop loop;
    private final Ticker ticker;
    private final Server server;
    private Front front;
    private Core core;
    private InetSocketAddress listAt;
    private double serveOn = LISTEN_ON, answerBy = Double.POSITIVE_INFINITY;

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
        double killed = KILLED_AFTER + Math.min(LONGEST_COUNTED, config.settings().classes().stream()
            .mapToDouble(RequestClass::deadline).max().orElse(0));
        scheduler.serveOn = Math.max(LISTEN_ON, killed - LAST_REQUESTS);
        scheduler.answerBy = killed - LAST_ANSWERS;
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

    /**
     * Takes new connections a little longer, answers all that was taken, then runs the task. The platform's clients
     * have no other scheduler and go on using the connections they have: those are served for as long as there is
     * time, since what they ask after the last one was closed is lost to them.
     */
    void leave(Runnable whenLeft) {
        loop.execute(() -> {
            if (answerBy < Double.POSITIVE_INFINITY) {
                core.leave(ticker.now() + answerBy);
            }
            ticker.after(serveOn, () -> {
                server.stop();
                front.leave(whenLeft);
            });
        });
    }

    /** How long leaving takes until nothing new is taken. */
    double serveOn() {
        return serveOn;
    }

    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
