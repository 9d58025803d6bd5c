package kelphollow.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.stream.IntStream;
import kelphollow.decision.ControlSettings;
import kelphollow.dissemination.DisseminationSettings;
import kelphollow.fleet.EventLog;
import kelphollow.fleet.Fleet;
import kelphollow.fleet.FleetOptions;
import kelphollow.membership.MembershipSettings;
import kelphollow.protocol.json.Json;
import kelphollow.protocol.peer.DropReason;
import kelphollow.protocol.peer.Traffic;
import kelphollow.routing.Ticker;

/**
 * One instance of the control plane without clients and data path: the production {@link Fleet} over {@link SimulatedNodes}.
 * A kill ends the instance's run without notice; the next one has a higher epoch at the same address. Confined to the
 * scale run's thread.
 */
final class SimulatedInstance {
    /** The fleet's key in a run. */
    static final byte[] KEY = "the key of one scale run".getBytes(StandardCharsets.US_ASCII);
    /** The configuration's default retry share. */
    private static final double RETRY_SHARE = 0.1;

    /** Receives the findings of instances; called on their event loops. */
    interface Observer {
        /** Called when the set of nodes that {@code instance} ejects becomes {@code nodes}. */
        void ejected(int instance, double now, Set<String> nodes);

        /** Called when {@code instance} logs the event {@code kind} about a run of the instance {@code of}. */
        void event(int instance, double now, String kind, String of, long epoch);
    }

    private final ScaleScenario scenario;
    private final int index;
    private final FleetHost host;
    private final NetworkModel network;
    private final Observer observer;
    private final Random random;
    private long epoch;
    private SuspendableExecutor process;
    private SimulatedNodes nodes;
    private Fleet fleet;

    SimulatedInstance(ScaleScenario scenario, int index, FleetHost host, NetworkModel network, Observer observer,
        long seed) {
        this.scenario = scenario;
        this.index = index;
        this.host = host;
        this.network = network;
        this.observer = observer;
        this.random = new Random(seed * ScaleScenario.MAX_INSTANCES + index);
    }

    int index() {
        return index;
    }

    /** Returns the epoch of the instance's current run. */
    long epoch() {
        return epoch;
    }

    boolean isRunning() {
        return process != null && process.isRunning();
    }

    boolean isAlive() {
        return process != null && !process.isKilled();
    }

    /** Starts a new run of the instance; must not be called on an event loop. */
    void start() throws IOException {
        epoch++;
        SuspendableExecutor newProcess = new SuspendableExecutor();
        process = newProcess;
        Random drawn = new Random(random.nextLong());
        host.run(index, () -> {
            Ticker ticker = host.ticker(index, newProcess);
            nodes = new SimulatedNodes(scenario, index, ticker, ejected -> observer.ejected(index, ticker.now(), ejected));
            Fleet.TransportFactory transports = host.transports(index, newProcess, KEY, MembershipSettings.DEFAULTS
                .maxMembers());
            fleet = new Fleet(options(), settings(), epoch, transports,
                ticker, nodes, drawn, new EventLog(new EventReader(ticker)), raised -> epoch = raised);
        });
        host.open(index, fleet);
        host.run(index, () -> {
            fleet.start();
            nodes.start();
        });
    }

    private FleetOptions options() {
        Map<String, InetSocketAddress> seeds = new TreeMap<>();
        for (int seed : seeds(scenario)) {
            seeds.put(ScaleScenario.nameOf(seed), network.addressOf(seed));
        }
        return new FleetOptions(ScaleScenario.nameOf(index), network.addressOf(index), seeds, KEY,
            MembershipSettings.DEFAULTS.withProtocolPeriod(scenario.period()), scenario.timeToLive(), true, true,
            RETRY_SHARE,
            DisseminationSettings.DEFAULTS);
    }

    /** Returns the seeds that instances contact when they start: the first simulated instance of each zone. */
    static List<Integer> seeds(ScaleScenario scenario) {
        return IntStream.range(0, scenario.simulated())
            .filter(i -> i == 0 || scenario.zoneOf(i) != scenario.zoneOf(i - 1)).boxed().toList();
    }

    private ControlSettings settings() {
        ControlSettings.RequestClass write = new ControlSettings.RequestClass(SimulatedNodes.CLASS, 500, 2_000, 2, 0.1,
            ControlSettings.Idempotency.NOT_IDEMPOTENT, ControlSettings.DeduplicationScope.ALL, 0, false, false);
        ControlSettings.Plan usual = new ControlSettings.Plan(SimulatedNodes.PLAN, 1_000, 0, 1, 1, 0, 0, 0);
        return new ControlSettings(index, scenario.instances(), "z" + scenario.zoneOf(index), 2, 3, 1_000, true, false,
            1_000, 1, 0.35, 0.05, List.of(write), List.of(usual),
            new ControlSettings.Rules(250, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0));
    }

    /** Models SIGKILL: the other instances are not notified. */
    void kill() {
        host.run(index, () -> {
            process.kill();
            fleet.transport().close();
        });
    }

    /** Models SIGSTOP. */
    void suspend() {
        host.run(index, () -> {
            process.suspend();
        });
    }

    /** Models SIGCONT. */
    void resume() {
        host.run(index, () -> {
            process.resume();
        });
    }

    void drain(int node, boolean draining) {
        host.run(index, () -> {
            nodes.drain(node, draining);
        });
    }

    List<String> present() {
        return host.call(index, fleet::presentMembers);
    }

    void forEachState(BiConsumer<String, Double> nameAndAge) {
        host.run(index, () -> {
            fleet.forEachState((state, age) -> nameAndAge.accept(state.instance(), age));
        });
    }

    /** Returns what the instance has sent and received so far in its current run. */
    TrafficCount traffic() {
        return host.call(index, () -> {
            Traffic traffic = fleet.transport().traffic();
            TrafficCount count = new TrafficCount();
            for (Traffic.Kind kind : Traffic.Kind.values()) {
                count.set(kind, traffic.packetsOut(kind), traffic.bytesOut(kind), traffic.packetsIn(kind),
                    traffic.bytesIn(kind));
            }
            return count;
        });
    }

    long dropped(DropReason reason) {
        return host.call(index, () -> fleet.transport().drops().getOrDefault(reason, 0L));
    }

    /** Passes failures and suspicions from the fleet's event log to the observer. */
    private final class EventReader extends Handler {
        private final Ticker ticker;

        EventReader(Ticker ticker) {
            this.ticker = ticker;
            setLevel(Level.INFO);
        }

        @Override public void publish(LogRecord record) {
            String line = record.getMessage();
            if (line.contains("\"failed\"") || line.contains("\"suspected\"")) {
                try {
                    Map<?, ?> event = (Map<?, ?>) Json.parse(line);
                    observer.event(index, ticker.now(), (String) event.get("event"), (String) event.get("instance"),
                        ((Double) event.get("epoch")).longValue());
                } catch (IOException e) {
                    throw new IllegalStateException(e);   // the fleet logs events as JSON
                }
            }
        }

        @Override public void flush() {}

        @Override public void close() {}
    }
}
