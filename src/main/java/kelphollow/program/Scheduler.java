package kelphollow.program;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.logging.Logger;
import kelphollow.decision.Control;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.EndpointListLease;
import kelphollow.fleet.EventLog;
import kelphollow.fleet.Fleet;
import kelphollow.ledger.Ledger;
import kelphollow.ledger.EndpointRecords;
import kelphollow.protocol.discovery.DiscoveryWatch;
import kelphollow.protocol.object.ObjectBackend;
import kelphollow.protocol.object.ObjectFront;
import kelphollow.protocol.resp.RespBackend;
import kelphollow.protocol.resp.RespFront;
import kelphollow.protocol.xds.XdsPoll;
import kelphollow.recovery.LimitRecovery;
import kelphollow.retune.SettingsReload;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.EndpointSource;
import kelphollow.routing.EndpointUpdateBudget;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.routing.Ticker;
import kelphollow.store.StoreFault;
import kelphollow.transport.Front;
import kelphollow.transport.HttpCall;
import kelphollow.transport.ConnectionPools;
import kelphollow.transport.Server;

/** One scheduler, wired: a front, the core with its module, a backend and a directory, all on one event loop. */
final class Scheduler {
    private static final Logger LOG = Logger.getLogger(Scheduler.class.getName());
    // After SIGTERM new connections keep coming for up to 0.4 s; they are taken for a little longer than that.
    private static final double LISTEN_ON = 450;
    // The platform kills no sooner than the longest deadline, counted as 3 s where it is longer, and 0.7 s after SIGTERM.
    private static final double LONGEST_COUNTED = 3_000;
    private static final double KILLED_AFTER = 700;
    // So long before that all has been answered, with time for what is slow on its way.
    private static final double LAST_ANSWERS = 350;
    // And so long before it connections that are owed nothing close. Clients keep using those they have for as long as
    // they stay open and have no other scheduler: what would come later is lost to them, so even a short chance is taken.
    private static final double LAST_REQUESTS = LAST_ANSWERS + 150;
    // For so many milliseconds an end waits for the counters that it logs.
    private static final long COUNTERS_MOST = 100;
    private final EventLoop loop;
    private final Ticker ticker;
    private final Server server;
    private final Random listRandom;
    /** Discovery has told its list, or a call to it has failed. */
    private final CountDownLatch firstResponse = new CountDownLatch(1);
    private Front front;
    private RequestRouter router;
    private InetSocketAddress listAt;
    private boolean pushed;
    private Ledger ledger;
    private EndpointRecords nodes;
    private double serveOn = LISTEN_ON, answerBy = Double.POSITIVE_INFINITY;
    private volatile boolean inherited;
    /** The classes and attempts that bind once what was read last has settled. */
    private SettingsReload.Tuning tuning;
    private Ticker.Timeout settling;
    private Fleet fleet;

    private Scheduler(EventLoop loop, Ticker ticker, int sockets, long seed) {
        this.loop = loop;
        this.ticker = ticker;
        this.server = new Server(clients(sockets));
        this.listRandom = new Random(seed);
    }

    /** Half of the descriptors are for clients, a third for nodes, the rest for what the program itself holds open. */
    private static int clients(int sockets) {
        return sockets / 2;
    }

    private static int nodes(int sockets) {
        return sockets / 3;
    }

    /** The scheduler of the platform; whoever had its name before has ended by now. */
    static Scheduler of(Config config, EventLoop loop, Ticker ticker) {
        Scheduler scheduler = new Scheduler(loop, ticker, config.sockets(), config.seed());
        double killed = KILLED_AFTER + Math.min(LONGEST_COUNTED, config.settings().classes().stream()
            .mapToDouble(RequestClass::deadline).max().orElse(0));
        scheduler.serveOn = Math.max(LISTEN_ON, killed - LAST_REQUESTS);
        scheduler.answerBy = killed - LAST_ANSWERS;
        loop.submit(() -> {
            ConnectionPools pools = new ConnectionPools(loop, ticker,
                new ConnectionPools.Limits(config.dialTimeout(), config.idleTime(), nodes(config.sockets())),
                RespBackend::codec);
            RequestRouter router = scheduler.router = new RequestRouter(
                new Control(config.settings(), config.seed(), ticker.now()), ticker, new RespBackend(pools, ticker),
                lease(config.settings()));
            router.restoreEndpoints(config.known().endpoints());
            router.onFirstResponse(scheduler.firstResponse::countDown);
            scheduler.listAt = config.discovery();
            scheduler.pushed = !config.settings().endpointsPolled();
            router.start(scheduler.watch(config.discovery(), config.known().version()), scheduler.pushed);
            scheduler.front = new RespFront(router, ticker, config.settings(), clients(config.sockets()));
            scheduler.tuning = new SettingsReload.Tuning(config.settings().classes(), config.settings().maxAttempts());
        }).syncUninterruptibly();
        return scheduler;
    }

    /** On the platform the list binds by the terms of {@link EndpointUpdateBudget}. */
    private static EndpointListLease lease(ControlSettings settings) {
        return settings.endpointsPolled() ? EndpointListLease.polled(EndpointUpdateBudget.NOTIFIED_AFTER,
            EndpointUpdateBudget.LOCAL_DELAY, settings.hosts())
            : EndpointListLease.pushed(EndpointUpdateBudget.NOTIFIED_AFTER, EndpointUpdateBudget.LOCAL_DELAY);
    }

    /** The gateway of the object API. Its store, if it has one, is opened here and not on the event loop. */
    static Scheduler of(ObjectConfig config, EventLoop loop, Ticker ticker) throws Config.Bad {
        Scheduler scheduler = new Scheduler(loop, ticker, config.sockets(), config.seed());
        Ledger ledger = scheduler.ledger = config.store() == null ? null : config.store().open(loop, ticker);
        try {
            EndpointRecords nodes = scheduler.nodes = ledger == null ? null : ledger.endpoints();
            List<ResolvedEndpoint> known = nodes == null ? List.of() : kept(nodes, config, ticker.now());
            Map<String, Double> limits = ledger == null ? Map.of() : limits(ledger, config, ticker.now());
            loop.submit(() -> {
                scheduler.wire(config, known, limits);
                return null;
            }).sync();
            if (config.fleet() != null) {
                scheduler.join(config);
            }
            return scheduler;
        } catch (Exception e) {
            scheduler.close();
            if (e instanceof Config.Bad bad) {
                throw bad;
            }
            if (e instanceof IOException || e instanceof StoreFault) {
                throw new Config.Bad("store.folders: " + e.getMessage());
            }
            throw new IllegalStateException(e);
        }
    }

    private void wire(ObjectConfig config, List<ResolvedEndpoint> known, Map<String, Double> limits)
        throws IOException, StoreFault {
        ConnectionPools pools = new ConnectionPools(loop, ticker,
            new ConnectionPools.Limits(config.dialTimeout(), config.idleTime(), nodes(config.sockets())),
            ObjectBackend::codec);
        router = new RequestRouter(new Control(config.settings(), config.seed(), ticker.now()), ticker,
            new ObjectBackend(pools, ticker, config.stall()));
        ObjectConfig.Xds xds = config.xds();
        EndpointSource directory = () -> {};
        if (xds.server() == null) {
            router.updateEndpoints(xds.inline(), true);
        } else {
            router.restoreEndpoints(known);
            directory = poll(config);
        }
        router.start(directory, false);   // xDS by REST must be asked, whatever the settings say of the platform's list
        router.restoreLimits(limits);
        front = new ObjectFront(router, ticker, config.options(), ledger);
    }

    /** Takes this instance's place in its fleet, under the number of its life in the store. */
    private void join(ObjectConfig config) throws Config.Bad, InterruptedException {
        EventLog events = config.fleet().openEvents();
        loop.submit(() -> {
            fleet = new Fleet(config.fleet().options(), config.settings(), ledger.epoch(), loop, ticker, router,
                new java.util.Random(config.seed() ^ ledger.epoch()), events, ledger::keepAbove);
        }).sync();
        try {
            InetSocketAddress at = fleet.transport().listen(config.fleet().options().listen());
            LOG.info(() -> "in a fleet at " + text(at));
        } catch (IOException e) {
            throw new Config.Bad(e.getMessage());
        }
        loop.submit(fleet::start).sync();
    }

    /** What {@code fleet status} shows, or null without a fleet; on the loop. */
    String fleetStatus() {
        return fleet == null ? null : fleet.status();
    }

    /** The node list that the life before kept, as far as its age allows. */
    private static List<ResolvedEndpoint> kept(EndpointRecords nodes, ObjectConfig config, double now) throws IOException,
        StoreFault {
        EndpointRecords.Saved saved = nodes.read();
        if (saved == null || config.xds().server() == null) {
            return List.of();
        }
        List<ResolvedEndpoint> usable = EndpointRecords.usable(saved, now, config.store().listExpires());
        LOG.info(() -> "starts from a node list " + (long) ((now - saved.at()) / 1000) + " s old: " + usable.size()
            + " of its " + saved.members().size() + " nodes are used");
        return usable;
    }

    private static Map<String, Double> limits(Ledger ledger, ObjectConfig config, double now)
        throws IOException, StoreFault {
        Map<String, LimitRecovery.Saved> saved = ledger.limits().take();
        Map<String, Double> levels = new HashMap<>();
        config.options().buckets().forEach((name, bucket) -> config.settings().plans().stream()
            .filter(p -> p.name().equals(bucket.plan()) && p.limitRate() > 0)
            .forEach(p -> levels.put(name, LimitRecovery.initialTokens(saved.get(name), 1.0 / bucket.hosts(), p.limitRate(),
                p.limitBurst(), p.limitSlack(), now))));
        return levels;
    }

    /** What outlives this process, or null. */
    Ledger ledger() {
        return ledger;
    }

    /** What became of requests and attempts, for the log; on any thread but the loop's. */
    String counters() {
        try {
            return onLoop(RequestRouter::counters).get(COUNTERS_MOST, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "requests: not counted";
        } catch (ExecutionException | TimeoutException e) {
            return "requests: not counted: " + e;
        }
    }

    /** After everybody has left: what must outlive the end is written, and the folders are let go. */
    void end() {
        if (ledger != null) {
            loop.submit(() -> ledger.limits().end(router.limitTokens(), ticker.now())).syncUninterruptibly();
        }
        close();
    }

    /** Lets the store go without a word on what was spent. */
    void close() {
        if (ledger != null) {
            ledger.close();
        }
    }

    private DiscoveryWatch watch(InetSocketAddress discovery, long version) {
        return new DiscoveryWatch(new HttpCall(loop, ticker, discovery), ticker, text(discovery), router, version,
            listRandom);
    }

    private void keep(List<ResolvedEndpoint> members) {
        if (nodes != null) {
            nodes.received(members, ticker.now());
        }
    }

    private XdsPoll poll(ObjectConfig config) {
        ObjectConfig.Xds xds = config.xds();
        return new XdsPoll(new HttpCall(loop, ticker, xds.server()), ticker, router, new XdsPoll.Query(text(xds.server()),
            xds.cluster(), config.options().shards(), config.name(), "kelphollow", xds.refresh()), this::keep);
    }

    /**
     * Follows a new configuration in what can change while requests are open: where the node list comes from. The
     * new service is asked for the whole list, since its versions have nothing to do with those of the old one.
     */
    void reload(Config config) {
        loop.execute(() -> {
            boolean nowPushed = !config.settings().endpointsPolled();
            if (!config.discovery().equals(listAt) || nowPushed != pushed) {
                listAt = config.discovery();
                pushed = nowPushed;
                router.changeEndpointSource(watch(listAt, -1), pushed);
            }
            retune(new SettingsReload.Tuning(config.settings().classes(), config.settings().maxAttempts()));
        });
    }

    /** The stricter blend of what holds and what comes at once, what comes alone after {@link SettingsReload#SETTLE_MS}. */
    private void retune(SettingsReload.Tuning next) {
        if (settling != null) {
            settling.cancel();
        }
        List<SettingsReload.Step> steps = SettingsReload.plan(tuning, next, ticker.now());
        SettingsReload.Step first = steps.get(0), then = steps.get(1);
        router.changeSettings(first.classes(), first.maxAttempts());
        if (front instanceof RespFront resp) {
            resp.know(first.classes());
        }
        tuning = new SettingsReload.Tuning(then.classes(), then.maxAttempts());
        settling = ticker.after(then.at() - ticker.now(), () -> {
            settling = null;
            router.changeSettings(then.classes(), then.maxAttempts());
        });
    }

    /** The same for the object API: the cluster is read or asked for anew. */
    void reload(ObjectConfig config) {
        loop.execute(() -> {
            if (config.xds().server() == null) {
                router.changeEndpointSource(() -> {}, false);
                router.updateEndpoints(config.xds().inline(), true);
            } else {
                router.changeEndpointSource(poll(config), false);
            }
        });
    }

    /** Runs the step on the loop that owns the core; its result comes when it has run. */
    <T> java.util.concurrent.CompletableFuture<T> onLoop(java.util.function.Function<RequestRouter, T> step) {
        java.util.concurrent.CompletableFuture<T> result = new java.util.concurrent.CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(step.apply(router));
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        return result;
    }

    /** What the process before left of volumes' limits; before the first request. */
    void restoreLimits(Map<String, Double> levels) {
        loop.submit(() -> router.restoreLimits(levels)).syncUninterruptibly();
    }

    /** Whether clients come through a socket that the platform handed down. */
    boolean inherited() {
        return inherited;
    }

    /** Whether discovery has said anything since the start; safe from any thread. */
    boolean hasReceivedEndpoints() {
        return router != null && router.hasReceivedEndpoints();
    }

    /** Waits, on the caller's thread, for discovery's first word, so many milliseconds at most; false if none came. */
    boolean awaitList(long most) throws InterruptedException {
        return firstResponse.await(most, TimeUnit.MILLISECONDS);
    }

    /** Takes clients from the socket that the platform handed down; nothing new is taken at once on leaving. */
    InetSocketAddress listen(java.nio.channels.ServerSocketChannel inherited) {
        serveOn = 0;
        this.inherited = true;
        return server.listen(loop, inherited, front);
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
            if (fleet != null) {
                fleet.leave();
            }
            if (answerBy < Double.POSITIVE_INFINITY) {
                router.startShutdown(ticker.now() + answerBy);
            }
            ticker.after(serveOn, () -> {
                server.stop();
                front.shutDown(whenLeft);
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
