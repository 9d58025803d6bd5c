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
 * Nodes of the endpoint list in the order of their first entry, and the lease on that list. Confined to the
 * thread that drives {@link Control}.
 */
final class NodeTable {
    private final DecisionContext context;
    private final FleetLatency fleet;
    private final Map<String, Node> byId = new LinkedHashMap<>();
    /** Settings of each node's retry budget. */
    private RetryBudgetChanged retryBudget = new RetryBudgetChanged(0, 0);
    private double leaseValidUntil = Double.POSITIVE_INFINITY;
    /** Time until which nodes in slow start get nothing: another process of the instance sends to them. */
    private double warmingUpHeldUntil = Double.NEGATIVE_INFINITY;

    NodeTable(DecisionContext context, FleetLatency fleet) {
        this.context = context;
        this.fleet = fleet;
    }

    /** Applies a complete endpoint list or a change to it. */
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

    /** Applies the set of nodes that other instances found unresponsive. */
    void suspected(Set<String> ids) {
        for (Node node : byId.values()) {
            node.health.reported(ids.contains(node.id), context.now());
        }
    }

    /** Replaces the retry budget of every node. */
    void limitRetries(RetryBudgetChanged budget) {
        retryBudget = budget;
        for (Node node : byId.values()) {
            node.retryBudget = newRetryBudget();
        }
    }

    void renewLease(double validUntil) {
        leaseValidUntil = validUntil;
    }

    /** Whether the lease on the endpoint list is valid; without it nothing is sent. */
    boolean isLeaseValid() {
        return context.now() < leaseValidUntil;
    }

    /** Sends nothing to nodes in slow start until this time: another process uses their quota. */
    void holdWarmingUp(double until) {
        warmingUpHeldUntil = until;
    }

    /** Whether nodes in slow start may get requests, within their quota. */
    boolean mayUseWarmingUp() {
        return context.now() >= warmingUpHeldUntil;
    }

    /** Drops a node that is gone, so that nodes with ever new ids do not fill memory. */
    void removeIfGone(Node node) {
        if (node.isGone()) {
            byId.remove(node.id, node);
        }
    }

    /** All nodes in the order of their first entry. */
    Collection<Node> all() {
        return byId.values();
    }

    int size() {
        return byId.size();
    }

    /** Upper median of the best latencies over nodes that have answered and are not in slow start. */
    OptionalDouble medianBestLatency() {
        double[] bests = byId.values().stream().filter(n -> !n.isWarmingUp() && n.latency.mean() > 0)
            .mapToDouble(n -> n.latency.best()).sorted().toArray();
        return bests.length == 0 ? OptionalDouble.empty() : OptionalDouble.of(bests[bests.length / 2]);
    }

    /** Nodes that this instance itself found unresponsive, with the number of probes sent since. */
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
