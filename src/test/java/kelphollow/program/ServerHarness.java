package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlSettings;
import kelphollow.protocol.discovery.DiscoveryList;
import kelphollow.protocol.json.Json;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.store.Batch;
import kelphollow.store.Durability;
import kelphollow.store.StoreFault;

/** A scheduler under test on the loopback, with the example's settings and a clock that the test advances. */
final class ServerHarness implements AutoCloseable {
    final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = group.next();
    final ManualTicker ticker = new ManualTicker(loop);
    static final int SOCKETS = 48;
    private static final int CONNECT_TIMEOUT_MS = 250;
    private static final double IDLE_TIME_MS = 12_000;
    private Scheduler scheduler;
    private RequestRouter router;
    private PlatformConfig config;
    InetSocketAddress address;

    static Map<String, Object> example() throws IOException {
        return copy((Map<?, ?>) Json.parse(Files.readString(Path.of("deploy/objects.json"))));
    }

    @SuppressWarnings("unchecked") static Map<String, Object> section(Map<String, Object> map, String key) {
        return (Map<String, Object>) map.get(key);
    }

    private static Map<String, Object> copy(Map<?, ?> map) {
        Map<String, Object> copy = new HashMap<>();
        map.forEach((k, v) -> copy.put((String) k, v instanceof Map<?, ?> m ? copy(m) : v));
        return copy;
    }

    /** Starts the platform's scheduler with these nodes, the i-th of which holds shard i. */
    static ServerHarness resp(InetSocketAddress discovery, InetSocketAddress... nodes) throws Exception {
        return respWith(discovery == null ? "automatic" : "subscribe", discovery, nodes);
    }

    /** Like {@link #resp}, with the discovery mode of the endpoint list given. */
    static ServerHarness respWith(String mode, InetSocketAddress discovery, InetSocketAddress... nodes) throws Exception {
        ServerHarness harness = new ServerHarness();
        Map<String, Object> settings = section(example(), "settings");
        List<ResolvedEndpoint> members = new ArrayList<>();
        for (InetSocketAddress node : nodes) {
            int cell = members.size();
            members.add(new ResolvedEndpoint(new Endpoint("n" + cell, "a", cell, EndpointState.HEALTHY, 0), node));
        }
        settings.put("discovery", mode);
        List<Object> classes = new ArrayList<>((List<?>) settings.get("request_classes"));
        classes.add(Map.of("name", "keyed", "aim", 500.0, "deadline", 3000.0, "effect", "token", "dedup_scope", "cell",
            "window", 4000.0, "worth", 2.0, "late_share", 0.1));
        settings.put("request_classes", classes);
        harness.config = platformConfig(discovery == null ? new InetSocketAddress("127.0.0.1", 1) : discovery,
            new DiscoveryList(1, true, members), SettingsConfig.read(settings));
        harness.start(PlatformScheduler.start(harness.config, harness.loop, harness.ticker));
        return harness;
    }

    /**
     * Starts the platform's scheduler on a socket that the next process of an upgrade also holds, with only the classes
     * whose deadline is at most this.
     */
    static ServerHarness respOnSharedSocket(double deadline, InetSocketAddress node) throws Exception {
        ServerHarness harness = new ServerHarness();
        DiscoveryList known = new DiscoveryList(1, true,
            List.of(new ResolvedEndpoint(new Endpoint("n0", "a", 0, EndpointState.HEALTHY, 0), node)));
        harness.config = platformConfig(new InetSocketAddress("127.0.0.1", 1), known,
            SettingsConfig.read(settingsWithoutLongerDeadlines(deadline)));
        harness.wire(PlatformScheduler.start(harness.config, harness.loop, harness.ticker));
        ServerSocketChannel shared = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
        harness.address = harness.scheduler.listen(shared);
        return harness;
    }

    private static PlatformConfig platformConfig(InetSocketAddress discovery, DiscoveryList known,
        ControlSettings settings) {
        return new PlatformConfig("test", null, discovery, 1, SOCKETS, CONNECT_TIMEOUT_MS, IDLE_TIME_MS, known, settings,
            PlatformConfig.Operations.NONE);
    }

    void reload(InetSocketAddress discovery) throws InterruptedException {
        signalReload(discovery);
        loop.submit(() -> {}).sync();
    }

    /** Reloads as at SIGHUP with only the classes whose deadline is at most this. */
    void reloadWithoutLongerDeadlines(double deadline) throws Exception {
        ((PlatformScheduler) scheduler).reload(platformConfig(config.discovery(), config.known(),
            SettingsConfig.read(settingsWithoutLongerDeadlines(deadline))));
        loop.submit(() -> {}).sync();
    }

    private static Map<String, Object> settingsWithoutLongerDeadlines(double deadline) throws IOException {
        Map<String, Object> settings = section(example(), "settings");
        settings.put("discovery", "automatic");
        List<?> classes = (List<?>) settings.get("request_classes");
        settings.put("request_classes",
            classes.stream().filter(row -> (Double) ((Map<?, ?>) row).get("deadline") <= deadline).toList());
        return settings;
    }

    /** Reloads as at SIGHUP with a new discovery address; the loop applies it in a later task. */
    void signalReload(InetSocketAddress discovery) {
        ((PlatformScheduler) scheduler).reload(platformConfig(discovery, config.known(), config.settings()));
    }

    /** Applies a complete list as if discovery had sent it; call on the loop. */
    void updateEndpoints(List<ResolvedEndpoint> complete) {
        router.updateEndpoints(complete, true);
    }

    /** Runs the task after the next loop iteration has handled what it read, before the following read; call on the loop. */
    void afterNextLoopIteration(Runnable task) {
        SingleThreadEventLoop eventLoop = (SingleThreadEventLoop) loop;
        eventLoop.executeAfterEventLoopIteration(() -> loop.execute(() -> eventLoop.executeAfterEventLoopIteration(task)));
    }

    /** Starts the gateway of the object API with these object servers. */
    static ServerHarness objects(Map<String, Object> changes, InetSocketAddress... servers) throws Exception {
        ServerHarness harness = new ServerHarness();
        harness.start(ObjectScheduler.start(objectConfig(changes, servers), harness.loop, harness.ticker));
        return harness;
    }

    private static ObjectConfig objectConfig(Map<String, Object> changes, InetSocketAddress... servers) throws Exception {
        Map<String, Object> config = example();
        Map<String, Object> xds = new HashMap<>(section(config, "xds"));
        xds.put("endpoints", List.of(Json.parse(assignment("HEALTHY", servers))));
        config.put("xds", xds);
        config.putAll(changes);
        return ObjectConfig.read(new ConfigSection(config, ""));
    }

    void reload(Map<String, Object> changes, InetSocketAddress... servers) throws Exception {
        ((ObjectScheduler) scheduler).reload(objectConfig(changes, servers));
        loop.submit(() -> {}).sync();
    }

    /** A ClusterLoadAssignment in which the i-th server holds shard i. */
    static String assignment(String health, InetSocketAddress... servers) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < servers.length; i++) {
            text.append(i > 0 ? "," : "").append("{\"health_status\":\"").append(health)
                .append("\",\"endpoint\":{\"address\":{\"socket_address\":{\"address\":\"127.0.0.1\",\"port_value\":")
                .append(servers[i].getPort()).append("}}},\"metadata\":{\"filter_metadata\":{\"kelphollow\":{\"shard\":")
                .append(i).append("}}}}");
        }
        return "{\"cluster_name\":\"dump-store-endpoints\",\"endpoints\":[{\"lb_endpoints\":[" + text + "]}]}";
    }

    private void start(Scheduler of) {
        wire(of);
        address = of.listen(new InetSocketAddress("127.0.0.1", 0));
    }

    private void wire(Scheduler of) {
        scheduler = of;
        router = of.onLoop(c -> c).join();
    }

    Scheduler scheduler() {
        return scheduler;
    }

    void sigtermAndStopAccepting(Runnable whenLeft) throws InterruptedException {
        sigterm(whenLeft);
        ticker.advance((int) scheduler.acceptsFor() + 1);
    }

    int openRequests() throws Exception {
        return scheduler.onLoop(router -> router.openRequests()).get();
    }

    boolean awaitFirstResponse(long maxMillis) throws InterruptedException {
        return ((PlatformScheduler) scheduler).awaitFirstResponse(maxMillis);
    }

    /** Advances the clock in steps of 10 ms with a loop iteration after each, as an event loop under no load would run. */
    void runFor(int millis) throws InterruptedException {
        for (int passed = 0; passed < millis; passed += 10) {
            ticker.advance(Math.min(10, millis - passed));
            runLoopOnce(loop);
        }
    }

    /** Runs one loop iteration: the loop reads what has arrived, then runs its pending tasks. */
    static void runLoopOnce(EventLoop loop) throws InterruptedException {
        CountDownLatch finished = new CountDownLatch(1);
        ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(() -> loop.execute(finished::countDown));
        loop.submit(() -> {}).sync();     // wakes the loop if it is blocked in select
        finished.await();
    }

    /** Starts the shutdown as at SIGTERM, without advancing the clock. */
    void sigterm(Runnable whenLeft) throws InterruptedException {
        scheduler.shutDown(whenLeft);
        loop.submit(() -> {}).sync();
    }

    /** Waits until the store's writer has written everything queued so far. */
    void awaitStoreWrites() throws Exception {
        CompletableFuture<StoreFault> done = new CompletableFuture<>();
        ((ObjectScheduler) scheduler).ledger().store().write(new Batch(), Durability.BUFFERED, Runnable::run,
            done::complete);
        assertNull(done.get());
    }

    /** Ends the scheduler as at the end of a shutdown. */
    void end() {
        scheduler.closeAfterShutdown();
    }

    @Override public void close() {
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS).syncUninterruptibly();
    }
}
