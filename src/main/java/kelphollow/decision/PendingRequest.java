package kelphollow.decision;

import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings.RequestClass;

/**
 * State of an open request; times are milliseconds on the host's clock. Confined to the thread that drives
 * {@link Control}.
 */
final class PendingRequest {
    /** The final answer goes out this many ticks before the deadline, so that a late timer still keeps it. */
    private static final double ANSWER_MARGIN_TICKS = 4;
    /** Share of the time until the deadline for which a request may be queued without reaching a node. */
    private static final double QUEUED_SHARE = 0.45;

    final RequestArrived arrival;
    final RequestClass requestClass;
    final Volume volume;
    /** Position in the order of arrivals. */
    final long sequence;
    /** A random number of [0, 1) that decides on admission to a node in slow start. */
    final double admissionDraw;
    final double arrivedAt;
    /** When its latency objective is over, counted from the client's first attempt. */
    final double objectiveAt;
    /** When it gets its final answer at the latest. */
    double answerAt;
    /** Until when it may be queued without having reached a node. */
    double queuedUntil;
    double startTag;
    double finishTag;
    /** Value of an answer in time when load is shed: the priority weight by plan and quota. */
    double sheddingWeight;
    /** Time before which it may not be sent again. */
    double retryAt;
    /** When the first attempt that may have been executed was sent; negative while there is none. */
    double possiblyExecutedSince = -1;
    /** Where that attempt went to; null while there is none. */
    Node possiblyExecutedNode;
    /** The attempt in flight; null while there is none. */
    InFlightAttempt inFlight;
    /** Attempts sent so far. */
    int attempts;
    /** Whether it can no longer meet its latency objective and has left the order of the tags. */
    boolean late;
    boolean queued;
    /** Whether a streamed response has started; it has no deadline from there on. */
    boolean streaming;
    /** Whether its units are taken out of its volume's numTokens. */
    boolean tokensSpent;
    /** Whether an attempt has reached a node. */
    boolean reachedNode;

    /**
     * @param shutdownAt when all that is open gets its final answer; infinite while no shutdown is under way
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
        // What is missing from the class's deadline was spent on the client's earlier attempts.
        double spent = Math.max(0, requestClass.deadline() - (arrival.deadline() - now));
        objectiveAt = Math.min(now + requestClass.latencyObjective() - spent, answerAt);
    }

    String id() {
        return arrival.id();
    }

    double units() {
        return arrival.units();
    }

    /** Whether requests of its key are executed one after the other. */
    boolean isOrdered() {
        return requestClass.ordered() && arrival.key() != null;
    }

    /** Whether an attempt that has ended may have been executed. */
    boolean possiblyExecuted() {
        return possiblyExecutedSince >= 0;
    }

    /** Whether it is certain that no attempt was or will be executed. */
    boolean provablyNotExecuted() {
        return possiblyExecutedSince < 0 && inFlight == null;
    }
}
