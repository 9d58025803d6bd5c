package kelphollow.program;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.logging.Logger;
import kelphollow.decision.Control;
import kelphollow.fleet.EventLog;
import kelphollow.fleet.Fleet;
import kelphollow.ledger.Ledger;
import kelphollow.ledger.EndpointRecords;
import kelphollow.protocol.object.ObjectBackend;
import kelphollow.protocol.object.ObjectFront;
import kelphollow.protocol.xds.XdsPoller;
import kelphollow.recovery.LimitRecovery;
import kelphollow.routing.EndpointSource;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.routing.Ticker;
import kelphollow.store.StoreFault;
import kelphollow.transport.ClientMemory;
import kelphollow.transport.ConnectionPools;
import kelphollow.transport.HttpCall;

/** The scheduler behind the object API, with an optional store and optional membership in a fleet. */
final class ObjectScheduler extends Scheduler {
    private static final Logger LOG = Logger.getLogger(ObjectScheduler.class.getName());
    /** The user agent sent to xDS servers. */
    private static final String USER_AGENT = "kelphollow";

    /** Null if no store is configured. */
    private Ledger ledger;
    private EndpointRecords endpointRecords;
    /** Null if the instance is in no fleet. */
    private Fleet fleet;

    private ObjectScheduler(ObjectConfig config, EventLoop loop, Ticker ticker) {
        super(loop, ticker, config.sockets(),
            ShutdownSchedule.gateway(ShutdownSchedule.longestDeadline(config.settings().classes())));
    }

    /**
     * Opens the store, wires a gateway and joins the fleet; blocks until that is done and must not be called on the event
     * loop. The gateway serves once it {@link #listen listens}.
     *
     * @throws ConfigurationException if the store or the fleet's address cannot be used
     */
    static ObjectScheduler start(ObjectConfig config, EventLoop loop, Ticker ticker) throws ConfigurationException {
        ObjectScheduler scheduler = new ObjectScheduler(config, loop, ticker);
        scheduler.ledger = config.store() == null ? null : config.store().open(loop, ticker);
        boolean started = false;
        try {
            scheduler.start(config);
            started = true;
            return scheduler;
        } catch (IOException | StoreFault e) {
            throw ConfigurationException.failed("store.folders", e.getMessage());
        } catch (InterruptedException | RuntimeException e) {
            throw new IllegalStateException(e);
        } finally {
            if (!started) {
                scheduler.close();
            }
        }
    }

    private void start(ObjectConfig config) throws ConfigurationException, IOException, StoreFault, InterruptedException {
        endpointRecords = ledger == null ? null : ledger.endpoints();
        List<ResolvedEndpoint> cached = endpointRecords == null ? List.of() : cachedEndpoints(config);
        Map<String, Double> limits = ledger == null ? Map.of() : recoveredLimits(config);
        loop().submit(() -> {
            wire(config, cached, limits);
            return null;
        }).sync();
        if (config.fleet() != null) {
            joinFleet(config);
        }
    }

    /** Returns the stored endpoints of an earlier run of this gateway that are not too old to be used. */
    private List<ResolvedEndpoint> cachedEndpoints(ObjectConfig config) throws IOException, StoreFault {
        double now = ticker().now();
        EndpointRecords.Saved saved = endpointRecords.read();
        if (saved == null || config.cluster() instanceof ClusterConfig.Inline) {
            return List.of();
        }
        List<ResolvedEndpoint> usable = EndpointRecords.usable(saved, now, config.store().endpointsExpire());
        LOG.info(() -> "starts from a stored endpoint list, " + (long) ((now - saved.at()) / 1000) + " s old: uses "
            + usable.size() + " of " + saved.members().size() + " endpoints");
        return usable;
    }

    private Map<String, Double> recoveredLimits(ObjectConfig config) throws IOException, StoreFault {
        double now = ticker().now();
        Map<String, LimitRecovery.Saved> saved = ledger.limits().take();
        Map<String, Double> tokens = new HashMap<>();
        config.options().buckets().forEach((name, bucket) -> config.settings().plans().stream()
            .filter(plan -> plan.name().equals(bucket.plan()) && plan.limitRate() > 0)
            .forEach(plan -> tokens.put(name, LimitRecovery.initialTokens(saved.get(name), 1.0 / bucket.gateways(),
                plan.limitRate(), plan.limitBurst(), plan.limitSlack(), now))));
        return tokens;
    }

    private void wire(ObjectConfig config, List<ResolvedEndpoint> cached, Map<String, Double> limits)
        throws IOException, StoreFault {
        ConnectionPools pools = new ConnectionPools(loop(), ticker(),
            new ConnectionPools.Limits(config.dialTimeout(), config.idleTime(), nodeSockets(config.sockets())),
            ObjectBackend::codec);
        RequestRouter router = new RequestRouter(new Control(config.settings(), config.seed(), ticker().now()), ticker(),
            new ObjectBackend(pools, ticker(), config.stallTimeout()));
        EndpointSource source = () -> {};
        if (config.cluster() instanceof ClusterConfig.Polled polled) {
            router.restoreEndpoints(cached);
            source = poll(config, polled, router);
        } else if (config.cluster() instanceof ClusterConfig.Inline inline) {
            router.updateEndpoints(inline.endpoints(), true);
        }
        router.start(source, false);   // xDS by REST is always polled; settings.discovery applies only to the platform
        router.restoreLimits(limits);
        ObjectFront front = new ObjectFront(router, ticker(), config.options(), ledger, ClientMemory.ofHeap());
        front.startLog();
        setComponents(router, front);
    }

    private XdsPoller poll(ObjectConfig config, ClusterConfig.Polled polled, RequestRouter router) {
        XdsPoller.Query query = new XdsPoller.Query(Addresses.text(polled.server()), polled.cluster(), config.options()
            .cells(),
            config.name(), USER_AGENT, polled.refreshInterval());
        return new XdsPoller(new HttpCall(loop(), ticker(), polled.server()), ticker(), router, query, this::storeEndpoints);
    }

    private void storeEndpoints(List<ResolvedEndpoint> endpoints) {
        if (endpointRecords != null) {
            endpointRecords.received(endpoints, ticker().now());
        }
    }

    /** Joins the fleet with the epoch from the store. */
    private void joinFleet(ObjectConfig config) throws ConfigurationException, InterruptedException {
        EventLog events = config.fleet().openEvents();
        loop().submit(() -> {
            fleet = new Fleet(config.fleet().options(), config.settings(), ledger.epoch(), loop(), ticker(), router(),
                new Random(config.seed() ^ ledger.epoch()), events, ledger::reserveEpochsUpTo);
        }).sync();
        try {
            InetSocketAddress at = fleet.transport().listen(config.fleet().options().listen());
            LOG.info(() -> "fleet transport listens at " + Addresses.text(at));
        } catch (IOException e) {
            throw new ConfigurationException(e.getMessage());
        }
        loop().submit(fleet::start).sync();
    }

    /** Applies the source of endpoints from a new configuration; nothing else is reloaded. */
    void reload(ObjectConfig config) {
        loop().execute(() -> {
            if (config.cluster() instanceof ClusterConfig.Inline inline) {
                router().changeEndpointSource(() -> {}, false);
                router().updateEndpoints(inline.endpoints(), true);
            } else if (config.cluster() instanceof ClusterConfig.Polled polled) {
                router().changeEndpointSource(poll(config, polled, router()), false);
            }
        });
    }

    /** Returns the persistent state, or null without a store. */
    Ledger ledger() {
        return ledger;
    }

    @Override String fleetStatus() {
        return fleet == null ? null : fleet.status();
    }

    @Override void shutdownStarted() {
        if (fleet != null) {
            fleet.leave();
        }
    }

    @Override void closeAfterShutdown() {
        if (ledger != null) {
            loop().submit(() -> ledger.limits().recordFinalTokens(router().limitTokens(), ticker().now()))
                .syncUninterruptibly();
        }
        close();
    }

    @Override void close() {
        if (ledger != null) {
            ledger.close();
        }
    }
}
