package kelphollow.decision;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.RetryBudgetChanged;

/**
 * The nodes by the endpoint list, in the order in which they were first named, and the lease on that list.
 * Confined to the thread that drives {@link Control}.
 */
final class NodeTable {
    private final DecisionContext context;
    private final FleetLatency fleet;
    private final Map<String, Node> byId = new LinkedHashMap<>();
    /** Bound on the retries at each node. */
    private RetryBudgetChanged retryBudget = new RetryBudgetChanged(0, 0);
    private double leaseValidUntil = Double.POSITIVE_INFINITY;

    NodeTable(DecisionContext context, FleetLatency fleet) {
        this.context = context;
        this.fleet = fleet;
    }

    /** Takes over an endpoint list or changes of it. */
    void apply(EndpointsReceived list) {
        if (list.complete()) {
            byId.values().forEach(Node::markRemoved);
        }
        for (Endpoint endpoint : list.endpoints()) {
            byId.computeIfAbsent(endpoint.node(), id -> newNode(endpoint)).updateEndpoint(endpoint);
        }
        byId.values().removeIf(Node::isGone);
    }

    private Node newNode(Endpoint endpoint) {
        return new Node(endpoint, context, this, fleet, newRetryBudget());
    }

    private RetryBudget newRetryBudget() {
        return new RetryBudget(retryBudget.window(), 0, retryBudget.share(), context.tick());
    }

    /** Takes over which nodes other instances found unresponsive. */
    void suspected(Set<String> ids) {
        for (Node node : byId.values()) {
            node.health.reported(ids.contains(node.id), context.now());
        }
    }

    /** Bounds the retries at each node anew. */
    void limitRetries(RetryBudgetChanged budget) {
        retryBudget = budget;
        for (Node node : byId.values()) {
            node.retryBudget = newRetryBudget();
        }
    }

    void renewLease(double validUntil) {
        leaseValidUntil = validUntil;
    }

    /** Whether the endpoint list may be acted on. */
    boolean isLeaseValid() {
        return context.now() < leaseValidUntil;
    }

    /** Guards memory against nodes that come under ever new ids. */
    void removeIfGone(Node node) {
        if (node.isGone()) {
            byId.remove(node.id, node);
        }
    }

    /** All nodes, the one first named in front. */
    Collection<Node> all() {
        return byId.values();
    }

    int size() {
        return byId.size();
    }

    /** The upper median of the best latencies of the nodes that are warm and have answered. */
    OptionalDouble medianBestLatency() {
        double[] bests = byId.values().stream().filter(n -> !n.isWarmingUp() && n.latency.mean() > 0)
            .mapToDouble(n -> n.latency.best()).sorted().toArray();
        return bests.length == 0 ? OptionalDouble.empty() : OptionalDouble.of(bests[bests.length / 2]);
    }

    /** The nodes that attempts of this instance found unresponsive, and how often each was probed since. */
    Map<String, Integer> unresponsive() {
        Map<String, Integer> unresponsive = new TreeMap<>();
        for (Node node : byId.values()) {
            if (node.health.state() == NodeHealth.State.UNRESPONSIVE) {
                unresponsive.put(node.id, node.health.probes());
            }
        }
        return unresponsive;
    }
}
