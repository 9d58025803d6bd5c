package kelphollow.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;

/**
 * A storage node as seen by this instance: decides whether, and how many, requests may be sent to it. Times
 * are milliseconds. Memory: one entry per attempt in flight. Confined to the thread that drives
 * {@link Control}.
 */
final class Node {
    /** Latency above which excess is sent at a reduced rate, as a share of the shortest objective. */
    private static final double EXCESS_LATENCY_SHARE = 0.4;
    /** Expected latencies since the last send after which a node under pressure takes one more request. */
    private static final double REDUCED_RATE_LATENCIES = 2;
    /** Expected latencies since the last send after which a late request is taken, as it delays no other. */
    private static final double IDLE_LATENCIES = 12;

    final String id;
    final String zone;
    final int cell;
    final LatencyEstimate latency;
    final ConcurrencyWindow window = new ConcurrencyWindow();
    final NodeHealth health;
    /** Bounds the retries sent to this node. */
    RetryBudget retryBudget;

    private final DecisionContext context;
    private final NodeTable nodes;
    private final SlowStart slowStart;
    /** Attempts in flight by key, oldest first, without those whose response has started. */
    private final Map<String, InFlightAttempt> inFlight = new LinkedHashMap<>();
    private EndpointState state = EndpointState.REMOVED;
    /** Time of the last send, or of creation. */
    private double sentAt;

    Node(Endpoint endpoint, DecisionContext context, NodeTable nodes, FleetLatency fleet,
        RetryBudget retryBudget) {
        id = endpoint.node();
        zone = endpoint.zone();
        cell = endpoint.cell();
        this.context = context;
        this.nodes = nodes;
        this.retryBudget = retryBudget;
        latency = new LatencyEstimate(context, fleet, inFlight);
        health = new NodeHealth(context.random());
        slowStart = new SlowStart(context, nodes);
        sentAt = context.now();
    }

    /** Applies this node's entry of a received endpoint list. */
    void updateEndpoint(Endpoint endpoint) {
        state = endpoint.state();
        if (slowStart.started(endpoint.startedAt())) {
            window.restarted();
            health.restarted();
        }
    }

    /** Marks the node as removed, because a complete endpoint list has no entry for it. */
    void markRemoved() {
        state = EndpointState.REMOVED;
    }

    /** Whether the endpoint list allows new requests to this node. */
    boolean isEligible() {
        return state == EndpointState.HEALTHY;
    }

    /** Whether the node was removed and has nothing in flight, so that its state can be dropped. */
    boolean isGone() {
        return state == EndpointState.REMOVED && inFlight.isEmpty();
    }

    boolean isWarmingUp() {
        return slowStart.isWarmingUp();
    }

    /** Whether the node may be selected for a new object, which any node can store. */
    boolean acceptsNewObjects() {
        return isEligible() && !health.isProbedOnly() && !isWarmingUp() && health.hasFewErrors();
    }

    int inFlight() {
        return inFlight.size();
    }

    /** Whether one more request may be sent to this node now. */
    boolean hasCapacity() {
        double now = context.now();
        if (!isEligible() || !nodes.isLeaseValid() || now < health.sendableAt()) {
            return false;
        }
        double capacity = health.isProbedOnly() ? Math.min(1, window.size()) : window.size();
        double slots = Math.max(1, Math.floor(capacity));
        if (inFlight.size() >= slots) {
            slots += latency.lostAttempts();
        }
        if (inFlight.size() >= slots) {
            return false;
        }
        return capacity >= 1 || now >= sentAt + latency.expected() / capacity;
    }

    /** Whether this particular request may be sent to this node now. */
    boolean hasCapacityFor(PendingRequest request) {
        return hasCapacity()
            && (!isWarmingUp() || nodes.mayUseWarmingUp() && slowStart.admits(request, inFlight.isEmpty()));
    }

    /**
     * Exception to pClock: as the node's latency nears the shortest objective, excess requests are sent at a
     * reduced rate; past the objective, all requests are. The load that other instances place on the node
     * within their quotas shows only in its latency. Prevents the excess of many instances from making all
     * reserved requests late.
     */
    boolean isUnderPressure(PendingRequest request) {
        double share = request.volume.isExcess(request) ? EXCESS_LATENCY_SHARE : 1;
        double expected = latency.expected();
        boolean limited = !inFlight.isEmpty() || context.now() < sentAt + REDUCED_RATE_LATENCIES * expected;
        return limited && expected > share * context.shortestObjective();
    }

    /** Whether the node has been idle for long enough that a late request delays no other request. */
    boolean isIdle() {
        return inFlight.isEmpty() && context.now() > sentAt + IDLE_LATENCIES * latency.expected();
    }

    /** Records the sending of an attempt of a request under the attempt's unique key. */
    InFlightAttempt send(String key, PendingRequest request) {
        double now = context.now();
        health.sent(now);
        boolean filledWindow = window.isFilledBy(inFlight.size() + 1);
        InFlightAttempt attempt = new InFlightAttempt(request, this, now, filledWindow);
        inFlight.put(key, attempt);
        slowStart.sent(request.units());
        sentAt = now;
        return attempt;
    }

    /** Removes an attempt from those in flight: it has ended, or its response has started. */
    void release(String key) {
        inFlight.remove(key);
    }

    /** Updates health, latency and concurrency window from the outcome of an attempt sent to this node. */
    void recordOutcome(InFlightAttempt attempt, AttemptEnded ended) {
        AttemptOutcome outcome = ended.outcome();
        if (outcome == AttemptOutcome.SERVED) {
            served(attempt, ended.latency());
        } else if (outcome != AttemptOutcome.CANCELLED && outcome != AttemptOutcome.NOT_SENT) {
            boolean answeredSince = latency.servedAt() >= attempt.sentAt;
            if (!(outcome.mayBeIsolated() && answeredSince) && health.failed(outcome, context.now())) {
                window.failed();
            }
        }
    }

    private void served(InFlightAttempt attempt, double took) {
        health.served();
        latency.served(attempt.request.units(), took, attempt.sentAt);
        double target = window.size() <= 1 ? latency.singleRequestTarget() : latency.target();
        window.served(latency.mean(), target, attempt.filledWindow, context.now());
    }
}
