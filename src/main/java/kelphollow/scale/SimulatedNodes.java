package kelphollow.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.routing.AdmissionFilter;
import kelphollow.routing.FleetRouting;
import kelphollow.routing.Ticker;

/**
 * Simulates the routing of an instance without a data path: a scripted endpoint list of full size, unresponsive nodes that
 * are probed once a second unless the fleet ejects them, and shards at which requests are rejected. It reports about nodes
 * what a production instance would report. Confined to the instance's event loop.
 */
final class SimulatedNodes implements FleetRouting {
    /** Class of the rejected requests; the instance's settings must define it and {@link #PLAN}. */
    static final String CLASS = "write";
    static final String PLAN = "usual";
    /** Interval at which an unresponsive node is probed, in milliseconds, as in the decision module. */
    private static final double PROBE_INTERVAL = 1_000;
    /** Interval at which requests are rejected, in milliseconds; short enough to keep an overload report renewed. */
    private static final double REJECT_INTERVAL = 100;

    private static final int NODES_PER_SUBNET = 250;

    private final ScaleScenario scenario;
    private final Ticker ticker;
    private final Consumer<Set<String>> ejections;
    private final Map<String, Integer> probes = new HashMap<>();
    private AdmissionFilter admission = AdmissionFilter.ADMIT_ALL;
    private Consumer<List<Endpoint>> endpointsListener = entries -> {};
    private Set<String> ejected = Set.of();
    private double probedAt;
    private long rejections;

    /** @param ejections receives the set of nodes that the fleet ejects, each time the fleet sets it */
    SimulatedNodes(ScaleScenario scenario, int instance, Ticker ticker, Consumer<Set<String>> ejections) {
        this.scenario = scenario;
        this.ticker = ticker;
        this.ejections = ejections;
        ScaleScenario.StateSize state = scenario.state();
        for (int i = 0; i < state.unresponsive(); i++) {
            // Each unresponsive node is found by this many instances in a row, spread evenly over the fleet.
            int first = (int) ((long) i * scenario.instances() / state.unresponsive());
            if (Math.floorMod(instance - first, scenario.instances()) < state.unresponsiveTo()) {
                probes.put(nodeName(state.drains() + i), 1);
            }
        }
    }

    /** Returns the node's address, by which xDS names it; keys of the digest have the same length as in production. */
    static String nodeName(int node) {
        return "10.1." + node / NODES_PER_SUBNET + "." + (1 + node % NODES_PER_SUBNET) + ":9000";
    }

    /** Delivers the first endpoint list and starts to reject requests; called after the fleet has started. */
    void start() {
        List<Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < scenario.nodes(); i++) {
            entries.add(entry(i, i < scenario.state().drains()));
        }
        endpointsListener.accept(entries);
        reject();
    }

    private Endpoint entry(int node, boolean draining) {
        return new Endpoint(nodeName(node), "z" + node % scenario.zones(), node,
            draining ? EndpointState.DRAINING : EndpointState.HEALTHY, 0);
    }

    /** Simulates that discovery notifies only this instance that a node starts or stops draining. */
    void drain(int node, boolean draining) {
        endpointsListener.accept(List.of(entry(node, draining)));
    }

    private void reject() {
        for (int i = 0; i < scenario.state().rejected(); i++) {
            int shard = scenario.nodes() - 1 - i;
            RequestArrived arrival = new RequestArrived("r" + rejections, CLASS, PLAN, "k" + rejections,
                ticker.now() + 1_000, "v", 1, shard, 1);
            rejections++;
            if (admission.retryAfter(arrival).isEmpty()) {
                admission.rejected(arrival);
            }
        }
        if (scenario.state().rejected() > 0) {
            ticker.after(REJECT_INTERVAL, this::reject);
        }
    }

    @Override public void limitRetries(double share, double span) {}

    @Override public void setAdmissionFilter(AdmissionFilter filter) {
        admission = filter;
    }

    @Override public void onEndpointsReceived(Consumer<List<Endpoint>> listener) {
        endpointsListener = listener;
    }

    @Override public void eject(Set<String> nodes) {
        ejected = Set.copyOf(nodes);
        ejections.accept(ejected);
    }

    @Override public void suspect(Set<String> nodes) {}

    @Override public Map<String, Integer> unresponsiveNodes() {
        double now = ticker.now();
        if (now - probedAt >= PROBE_INTERVAL) {
            probedAt = now;
            probes.replaceAll((node, count) -> ejected.contains(node) ? count : count + 1);
        }
        return Map.copyOf(probes);
    }
}
