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
 * The routing of an instance that has none: a node list of full size by script, nodes that stay silent and are tried once
 * a second unless the fleet leaves them alone, and shards where requests are refused. What it says of nodes is what an
 * instance in service would say. For the instance's loop.
 */
final class SimulatedNodes implements FleetRouting {
    /** The class and plan of the requests that are refused here; the fleet's settings must know both. */
    static final String CLASS = "write", PLAN = "usual";
    // A silent node is tried so often, as the decision module's trickle does.
    private static final double TRY_EVERY = 1_000;
    // Refusals that keep a claim standing: some in each of the half seconds over which claims are counted.
    private static final double REFUSE_EVERY = 100;

    private static final int NODES_A_NET = 250;

    private final ScaleScenario scenario;
    private final Ticker ticker;
    private final Consumer<Set<String>> ejections;
    private final Map<String, Integer> tries = new HashMap<>();
    private AdmissionFilter admission = AdmissionFilter.ALL;
    private Consumer<List<Endpoint>> endpointsListener = entries -> {};
    private Set<String> ejected = Set.of();
    private double triedAt;
    private long refusals;

    /** @param cordons hears, each time it changes, which nodes are left alone for the sake of others */
    SimulatedNodes(ScaleScenario scenario, int instance, Ticker ticker, Consumer<Set<String>> ejections) {
        this.scenario = scenario;
        this.ticker = ticker;
        this.ejections = ejections;
        ScaleScenario.PartSize part = scenario.part();
        for (int i = 0; i < part.silent(); i++) {
            // Each silent node is found by as many instances in a row, spread evenly over the fleet.
            int first = (int) ((long) i * scenario.instances() / part.silent());
            if (Math.floorMod(instance - first, scenario.instances()) < part.silentBy()) {
                tries.put(nodeName(part.drains() + i), 1);
            }
        }
    }

    /** Where the node would be reached: xDS names nodes by that, and keys of the digest are as long. */
    static String nodeName(int node) {
        return "10.1." + node / NODES_A_NET + "." + (1 + node % NODES_A_NET) + ":9000";
    }

    /** The first list from discovery; after the fleet has started. */
    void start() {
        List<Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < scenario.nodes(); i++) {
            entries.add(entry(i, i < scenario.part().drains()));
        }
        endpointsListener.accept(entries);
        refuse();
    }

    private Endpoint entry(int node, boolean draining) {
        return new Endpoint(nodeName(node), "z" + node % scenario.zones(), node,
            draining ? EndpointState.DRAINING : EndpointState.HEALTHY, 0);
    }

    /** Discovery tells this instance alone that the node drains, or no longer. */
    void drain(int node, boolean draining) {
        endpointsListener.accept(List.of(entry(node, draining)));
    }

    private void refuse() {
        for (int i = 0; i < scenario.part().rejected(); i++) {
            int shard = scenario.nodes() - 1 - i;
            RequestArrived arrival = new RequestArrived("r" + refusals, CLASS, PLAN, "k" + refusals++, ticker.now() + 1_000,
                "v",
                1, shard, 1);
            if (admission.advice(arrival) < 0) {
                admission.rejected(arrival);
            }
        }
        if (scenario.part().rejected() > 0) {
            ticker.after(REFUSE_EVERY, this::refuse);
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
        if (now - triedAt >= TRY_EVERY) {
            triedAt = now;
            tries.replaceAll((node, count) -> ejected.contains(node) ? count : count + 1);
        }
        return Map.copyOf(tries);
    }
}
