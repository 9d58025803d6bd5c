package kelphollow.decision;

import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings.RequestClass;

/**
 * State of an open request. Times are milliseconds on the host's clock. Confined to the thread that drives
 * {@link Control}.
 */
final class PendingRequest {
    /** Ticks before the deadline at which the final answer is sent, so that a late timer still meets it. */
    private static final double ANSWER_MARGIN_TICKS = 4;
    /** Share of the time to the deadline for which a request may be queued without reaching a node. */
    private static final double QUEUED_SHARE = 0.45;

    final RequestArrived arrival;
    final RequestClass requestClass;
    final Volume volume;
    /** Sequence number in the order of arrival. */
    final long sequence;
    /** Random number in [0, 1) that decides on admission to a node in slow start. */
    final double admissionDraw;
    final double arrivedAt;
    /** Time at which the latency objective expires, counted from the client's first attempt. */
    final double objectiveAt;
    /** Latest time of the final answer. */
    double answerAt;
    /** Time until which the request may be queued without having reached a node. */
    double queuedUntil;
    double startTag;
    double finishTag;
    /** Value in load shedding of serving the request in time: its priority weight by plan and quota. */
    double sheddingWeight;
    /** Earliest time of the next attempt. */
    double retryAt;
    /** Send time of the first attempt that may have been executed; negative if there is none. */
    double possiblyExecutedSince = -1;
    /** Node of that attempt, or null. */
    Node possiblyExecutedNode;
    /** The attempt in flight, or null. */
    InFlightAttempt inFlight;
    /** Attempts sent so far. */
    int attempts;
    /** Whether the request can no longer meet its latency objective and is queued behind those that can. */
    boolean late;
    boolean queued;
    /** Whether a streamed response has started; the request has no deadline from then on. */
    boolean streaming;
    /** Whether the request's units are deducted from its volume's numTokens. */
    boolean tokensSpent;
    /** Whether an attempt has reached a node. */
    boolean reachedNode;

    /**
     * @param shutdownAt time at which all open requests get their final answer; infinite without a shutdown
     */
    PendingRequest(RequestArrived arrival, RequestClass requestClass, Volume volume, long sequence,
        double admissionDraw, DecisionContext context, double shutdownAt) {
        this.arrival = arrival;
        this.requestClass = requestClass;
        this.volume = volume;
        this.sequence = sequence;
        this.admissionDraw = admissionDraw;
        double now = context.now();
        arrivedAt = now;
        answerAt = Math.min(shutdownAt, arrival.deadline() - ANSWER_MARGIN_TICKS * context.tick());
        queuedUntil = now + QUEUED_SHARE * (arrival.deadline() - now);
        // Time missing from the class's deadline was spent on earlier attempts of the client.
        double spent = Math.max(0, requestClass.deadline() - (arrival.deadline() - now));
        objectiveAt = Math.min(now + requestClass.latencyObjective() - spent, answerAt);
    }

    String id() {
        return arrival.id();
    }

    double units() {
        return arrival.units();
    }

    /** Whether requests with the same key must be executed one at a time. */
    boolean isOrdered() {
        return requestClass.ordered() && arrival.key() != null;
    }

    /** Whether an attempt that has ended may have been executed. */
    boolean possiblyExecuted() {
        return possiblyExecutedSince >= 0;
    }

    /** Whether no attempt was executed, and none can still be. */
    boolean provablyNotExecuted() {
        return possiblyExecutedSince < 0 && inFlight == null;
    }
}
