package kelphollow.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;

/**
 * A storage node as this instance sees it: whether, and how many, requests it may be sent. Times are
 * milliseconds. Memory: an entry for each attempt in flight. Confined to the thread that drives
 * {@link Control}.
 */
final class Node {
    /** From this share of the shortest objective on excess requests leave at a reduced rate only. */
    private static final double EXCESS_YIELDS_AT = 0.4;
    /** Latencies without a send after which a node under pressure takes one more request. */
    private static final double REDUCED_RATE_LATENCIES = 2;
    /** Latencies without a send after which a node takes a late request: it must cost others nothing. */
    private static final double IDLE_LATENCIES = 12;

    final String id;
    final String zone;
    final int cell;
    final LatencyEstimate latency;
    final ConcurrencyWindow window = new ConcurrencyWindow();
    final NodeHealth health;
    /** Bound on the retries that it is sent. */
    RetryBudget retryBudget;

    private final DecisionContext context;
    private final NodeTable nodes;
    private final SlowStart slowStart;
    /**
     * Attempts in flight by their keys, the oldest first; a response that has started no longer waits and is
     * left out.
     */
    private final Map<String, InFlightAttempt> inFlight = new LinkedHashMap<>();
    private EndpointState state = EndpointState.REMOVED;
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

    /** The endpoint list has an entry of it. */
    void listed(Endpoint endpoint) {
        state = endpoint.state();
        if (slowStart.started(endpoint.startedAt())) {
            window.restarted();
            health.restarted();
        }
    }

    /** A complete endpoint list leaves it out. */
    void unlisted() {
        state = EndpointState.REMOVED;
    }

    /** Whether the endpoint list lets it take new requests. */
    boolean isEligible() {
        return state == EndpointState.HEALTHY;
    }

    /** Whether it was removed and nothing is in flight there, so that it may be forgotten. */
    boolean isGone() {
        return state == EndpointState.REMOVED && inFlight.isEmpty();
    }

    boolean isWarmingUp() {
        return slowStart.isWarmingUp();
    }

    /** Whether it may be chosen for a new object, which any node could take. */
    boolean acceptsNewObjects() {
        return isEligible() && !health.isProbedOnly() && !isWarmingUp() && health.hasFewErrors();
    }

    int inFlight() {
        return inFlight.size();
    }

    /** Whether one more request may leave for it now. */
    boolean hasCapacity() {
        double now = context.now();
        if (!isEligible() || !nodes.isLeaseValid() || now < health.sendableAt()) {
            return false;
        }
        double capacity = health.isProbedOnly() ? Math.min(1, window.size()) : window.size();
        double places = Math.max(1, Math.floor(capacity));
        if (inFlight.size() >= places) {
            places += latency.lostAttempts();
        }
        if (inFlight.size() >= places) {
            return false;
        }
        return capacity >= 1 || now >= sentAt + latency.expected() / capacity;
    }

    /** Whether this very request may leave for it now. */
    boolean hasCapacityFor(PendingRequest request) {
        return hasCapacity() && (!isWarmingUp() || slowStart.admits(request, inFlight.isEmpty()));
    }

    /**
     * Exception to pClock: as the node's latency nears the objective, what exceeds its quota leaves at a
     * reduced rate, and past the objective all does. What other instances have there within their quotas is
     * not known, only this latency; guards against the excess of many instances making every reserve late.
     */
    boolean isUnderPressure(PendingRequest request) {
        double share = request.volume.isExcess(request) ? EXCESS_YIELDS_AT : 1;
        double expected = latency.expected();
        boolean limited = !inFlight.isEmpty() || context.now() < sentAt + REDUCED_RATE_LATENCIES * expected;
        return limited && expected > share * context.shortestObjective();
    }

    /** Whether it has had nothing to do for so long that a late request costs others nothing. */
    boolean isIdle() {
        return inFlight.isEmpty() && context.now() > sentAt + IDLE_LATENCIES * latency.expected();
    }

    /** Sends an attempt of a request, under a key of its own. */
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

    /** An attempt no longer waits at the node: it has ended, or its response has started. */
    void release(String key) {
        inFlight.remove(key);
    }

    /** Learns from the outcome of an attempt that went here. */
    void learn(InFlightAttempt attempt, AttemptEnded ended) {
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
