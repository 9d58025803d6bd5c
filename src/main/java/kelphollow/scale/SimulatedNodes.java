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
 * The routing of an instance without a data path: a scripted endpoint list of full size, nodes that do not respond and are
 * probed once a second unless the fleet ejects them, and shards where requests are rejected. It reports of nodes what an
 * instance in service would report. Confined to the instance's loop.
 */
final class SimulatedNodes implements FleetRouting {
    /** The class and plan of the requests that are rejected here; the fleet's settings must know both. */
    static final String CLASS = "write";
    static final String PLAN = "usual";
    /** How often an unresponsive node is probed, in milliseconds, as the decision module does. */
    private static final double PROBE_INTERVAL = 1_000;
    /** How often requests are rejected, in milliseconds: often enough to renew an overload report. */
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

    /** @param ejections receives, each time it changes, which nodes are ejected because of other instances */
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

    /** The node's address: xDS names nodes by it, and keys of the digest are as long. */
    static String nodeName(int node) {
        return "10.1." + node / NODES_PER_SUBNET + "." + (1 + node % NODES_PER_SUBNET) + ":9000";
    }

    /** Receives the first list from discovery; after the fleet has started. */
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

    /** Discovery notifies this instance alone that the node drains, or no longer. */
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

    @Override public void onEndpointsReceived(Consumer<List<Endpoint>> heard) {
        endpointsListener = heard;
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
