package kelphollow.program;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import kelphollow.decision.Control;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.EndpointListLease;
import kelphollow.protocol.discovery.DiscoveryWatch;
import kelphollow.protocol.resp.RespBackend;
import kelphollow.protocol.resp.RespFront;
import kelphollow.retune.SettingsReload;
import kelphollow.routing.EndpointUpdateBudget;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.Ticker;
import kelphollow.transport.HttpCall;
import kelphollow.transport.ConnectionPools;

/** The scheduler of the platform; whoever had its name before has ended by now. */
final class PlatformScheduler extends Scheduler {
    /** Its versions have nothing to do with those of another discovery service: the complete list is requested. */
    private static final long NO_VERSION = -1;

    private final Random discoveryRandom;
    /** Discovery has reported its list, or a call to it has failed. */
    private final CountDownLatch firstResponse = new CountDownLatch(1);
    private RespFront front;
    private InetSocketAddress discovery;
    private boolean pushed;
    /** The classes and attempts that bind once what was read last has settled. */
    private SettingsReload.RequestSettings requestSettings;
    private Ticker.Timeout settling;

    private PlatformScheduler(PlatformConfig config, EventLoop loop, Ticker ticker) {
        super(loop, ticker, config.sockets(), ShutdownSchedule.platform(config.settings()));
        this.discoveryRandom = new Random(config.seed());
    }

    /** Wires a scheduler and asks discovery; blocks until that is done. It serves once it {@link #listen listens}. */
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
        router.start(watch(router, config.known().version()), pushed);
        front = new RespFront(router, ticker(), settings, clientSockets(config.sockets()));
        requestSettings = requestSettings(settings);
        wired(router, front);
    }

    /** On the platform the endpoint list binds by the terms of {@link EndpointUpdateBudget}. */
    private static EndpointListLease lease(ControlSettings settings) {
        return settings.endpointsPolled()
            ? EndpointListLease.polled(EndpointUpdateBudget.NOTIFIED_AFTER_MS, EndpointUpdateBudget.LOCAL_DELAY_MS, settings
                .instances())
            : EndpointListLease.pushed(EndpointUpdateBudget.NOTIFIED_AFTER_MS, EndpointUpdateBudget.LOCAL_DELAY_MS);
    }

    private DiscoveryWatch watch(RequestRouter router, long version) {
        return new DiscoveryWatch(new HttpCall(loop(), ticker(), discovery), ticker(), Addresses.text(discovery), router,
            version, discoveryRandom);
    }

    private static SettingsReload.RequestSettings requestSettings(ControlSettings settings) {
        return new SettingsReload.RequestSettings(settings.classes(), settings.maxAttempts());
    }

    /** Waits, on the caller's thread, for discovery's first response, so many milliseconds at most; false if none came. */
    boolean awaitFirstResponse(long millis) throws InterruptedException {
        return firstResponse.await(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Follows a new configuration in what can change while requests are open: where the endpoints come from, and what the
     * settings say of classes and attempts.
     */
    void reload(PlatformConfig config) {
        loop().execute(() -> {
            boolean nowPushed = !config.settings().endpointsPolled();
            if (!config.discovery().equals(discovery) || nowPushed != pushed) {
                discovery = config.discovery();
                pushed = nowPushed;
                router().changeEndpointSource(watch(router(), NO_VERSION), pushed);
            }
            reloadSettings(requestSettings(config.settings()));
        });
    }

    /**
     * Applies the stricter of old and new settings at once, and the new settings alone after {@link
     * SettingsReload#ACTIVATION_DELAY_MS}.
     */
    private void reloadSettings(SettingsReload.RequestSettings next) {
        if (settling != null) {
            settling.cancel();
        }
        List<SettingsReload.Step> steps = SettingsReload.schedule(requestSettings, next, ticker().now());
        SettingsReload.Step blend = steps.get(0);
        SettingsReload.Step settled = steps.get(1);
        router().changeSettings(blend.classes(), blend.maxAttempts());
        front.addClasses(blend.classes());
        requestSettings = new SettingsReload.RequestSettings(settled.classes(), settled.maxAttempts());
        settling = ticker().after(settled.at() - ticker().now(), () -> {
            settling = null;
            router().changeSettings(settled.classes(), settled.maxAttempts());
        });
    }
}
