package kelphollow.program;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import kelphollow.decision.Control;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.EndpointListLease;
import kelphollow.protocol.discovery.DiscoveryWatch;
import kelphollow.protocol.resp.ForwardedIds;
import kelphollow.protocol.resp.RecentForwardedIds;
import kelphollow.protocol.resp.RespBackend;
import kelphollow.protocol.resp.RespFront;
import kelphollow.retune.SettingsReload;
import kelphollow.routing.EndpointUpdateBudget;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.SiblingList;
import kelphollow.routing.SiblingRestriction;
import kelphollow.routing.Ticker;
import kelphollow.transport.ClientMemory;
import kelphollow.transport.HttpCall;
import kelphollow.transport.ConnectionPools;

/** The scheduler of the platform. The process that used its name before has ended when this one starts. */
final class PlatformScheduler extends Scheduler {
    /** Requests the complete list: versions of different discovery services are not comparable. */
    private static final long NO_VERSION = -1;

    private static final String FORWARDED_IDS_FOLDER = "kelphollow-forwarded";
    private static final Logger LOG = Logger.getLogger(PlatformScheduler.class.getName());

    private final Random discoveryRandom;
    /** Open until discovery has returned its list or a call to it has failed. */
    private final CountDownLatch firstResponse = new CountDownLatch(1);
    private RespFront front;
    private DiscoveryWatch watch;
    private SiblingRestriction restriction;
    /** Changed on the loop. */
    private volatile boolean hasSibling;
    /** The list last received, for the other process of an upgrade; null before there is one. */
    private volatile SiblingList listForSibling;
    private InetSocketAddress discovery;
    private boolean pushed;
    /** The classes and attempt limit that apply after the activation delay of the last reload. */
    private SettingsReload.RequestSettings requestSettings;
    private Ticker.Timeout pendingActivation;
    private Ticker.Timeout pendingSchedule;

    private PlatformScheduler(PlatformConfig config, EventLoop loop, Ticker ticker) {
        super(loop, ticker, config.sockets(), shutdownSchedule(config.settings().classes()));
        this.discoveryRandom = new Random(config.seed());
    }

    /** Wires a scheduler and starts to watch discovery; blocks until wired. It serves once it {@link #listen listens}. */
    static PlatformScheduler start(PlatformConfig config, EventLoop loop, Ticker ticker) {
        PlatformScheduler scheduler = new PlatformScheduler(config, loop, ticker);
        loop.submit(() -> scheduler.wire(config)).syncUninterruptibly();
        return scheduler;
    }

    private void wire(PlatformConfig config) {
        ControlSettings settings = config.settings();
        ConnectionPools pools = new ConnectionPools(loop(), ticker(),
            new ConnectionPools.Limits(config.dialTimeout(), config.idleTime(), nodeSockets(config.sockets())),
            RespBackend::codec);
        RequestRouter router = new RequestRouter(new Control(settings, config.seed(), ticker().now()), ticker(),
            new RespBackend(pools, ticker()), lease(settings));
        router.restoreEndpoints(config.known().endpoints());
        router.onFirstResponse(firstResponse::countDown);
        discovery = config.discovery();
        pushed = !settings.endpointsPolled();
        watch = watch(router, config.known().version());
        restriction = new SiblingRestriction(watch.host(), watch.version());
        router.onEndpointsReceived(entries -> listReceived());
        router.start(watch, pushed);
        front = new RespFront(router, ticker(), settings, clientSockets(config.sockets()),
            ClientMemory.ofHeap(), forwardedIds(config));
        front.startLog();
        requestSettings = requestSettings(settings);
        setComponents(router, front);
    }

    /** Processes that inherit their clients' socket replace each other in an upgrade and share a folder. */
    private static ForwardedIds forwardedIds(PlatformConfig config) {
        return config.operations().inheritsSocket()
            ? new SharedForwardedIds(MaintenanceFile.path().resolveSibling(FORWARDED_IDS_FOLDER)) : new RecentForwardedIds();
    }

    /** The lease of the platform's endpoint list, with the delays of {@link EndpointUpdateBudget}. */
    private static EndpointListLease lease(ControlSettings settings) {
        return settings.endpointsPolled()
            ? EndpointListLease.polled(EndpointUpdateBudget.NOTIFIED_AFTER_MS, EndpointUpdateBudget.LOCAL_DELAY_MS, settings
                .instances())
            : EndpointListLease.pushed(EndpointUpdateBudget.NOTIFIED_AFTER_MS, EndpointUpdateBudget.LOCAL_DELAY_MS,
                settings.rules().drainGrace());
    }

    private DiscoveryWatch watch(RequestRouter router, long version) {
        return new DiscoveryWatch(new HttpCall(loop(), ticker(), discovery), ticker(), Addresses.text(discovery), router,
            version, discoveryRandom);
    }

    private void listReceived() {
        restriction.listReceived(watch.host(), watch.version());
        router().restrictEndpoints(restriction.usable());
        if (hasSibling) {
            listForSibling = new SiblingList(watch.host(), watch.version(), router().listedAsUsable());
        }
    }

    @Override void setHasSibling(boolean has) {
        if (has != hasSibling) {
            loop().execute(() -> {
                hasSibling = has;
                if (has && router().hasReceivedEndpoints()) {
                    listReceived();
                }
            });
        }
    }

    @Override SiblingList listForSibling() {
        return listForSibling;
    }

    @Override void siblingListRead(SiblingList list) {
        loop().execute(() -> {
            boolean wasRestricted = restriction.usable() != null;
            restriction.siblingListRead(list);
            router().restrictEndpoints(restriction.usable());
            if (wasRestricted != (restriction.usable() != null)) {
                LOG.info(() -> "endpoint list: version " + list.version() + " of the other process, own version "
                    + watch.version() + (wasRestricted ? ", no longer restricts it" : ", restricts it"));
            }
        });
    }

    private static SettingsReload.RequestSettings requestSettings(ControlSettings settings) {
        return new SettingsReload.RequestSettings(settings.classes(), settings.maxAttempts());
    }

    /** Blocks for up to {@code millis} until discovery has responded or failed; returns false on timeout. */
    boolean awaitFirstResponse(long millis) throws InterruptedException {
        return firstResponse.await(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Applies the parts of a new configuration that can change while requests are open: the source of endpoints, the
     * classes and the attempt limit.
     */
    void reload(PlatformConfig config) {
        loop().execute(() -> {
            boolean nowPushed = !config.settings().endpointsPolled();
            if (!config.discovery().equals(discovery) || nowPushed != pushed) {
                discovery = config.discovery();
                pushed = nowPushed;
                watch = watch(router(), NO_VERSION);
                router().changeEndpointSource(watch, pushed);
            }
            reloadSettings(requestSettings(config.settings()));
            reloadShutdownSchedule(shutdownSchedule(config.settings().classes()));
        });
    }

    private static ShutdownSchedule shutdownSchedule(List<RequestClass> classes) {
        return ShutdownSchedule.platform(ShutdownSchedule.longestDeadline(classes));
    }

    /**
     * Applies the stricter of old and new settings at once, and the new settings alone after {@link
     * SettingsReload#ACTIVATION_DELAY_MS}.
     */
    private void reloadSettings(SettingsReload.RequestSettings next) {
        if (pendingActivation != null) {
            pendingActivation.cancel();
        }
        List<SettingsReload.Step> steps = SettingsReload.schedule(requestSettings, next, ticker().now());
        SettingsReload.Step strictest = steps.get(0);
        SettingsReload.Step activated = steps.get(1);
        router().changeSettings(strictest.classes(), strictest.maxAttempts());
        front.addClasses(strictest.classes());
        requestSettings = new SettingsReload.RequestSettings(activated.classes(), activated.maxAttempts());
        pendingActivation = ticker().after(activated.at() - ticker().now(), () -> {
            pendingActivation = null;
            router().changeSettings(activated.classes(), activated.maxAttempts());
        });
    }

    /** Until the new settings take effect the platform may count by them or by any that have not been replaced yet. */
    private void reloadShutdownSchedule(ShutdownSchedule next) {
        setShutdownSchedule(shutdownSchedule().earlier(next));
        if (pendingSchedule != null) {
            pendingSchedule.cancel();
        }
        pendingSchedule = ticker().after(SettingsReload.ACTIVATION_DELAY_MS, () -> setShutdownSchedule(next));
    }
}
