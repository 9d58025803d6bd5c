package kelphollow.decision;

/**
 * A model of one discovery service on a test clock. It processes calls in order at a fixed rate from a bounded queue and
 * rejects calls at once while the queue is full. A call that was queued for {@link #QUEUE_TIMEOUT} is rejected, but is
 * still processed, as are calls of callers that have disconnected. While the service is down, calls are rejected after
 * the same timeout. Times are milliseconds.
 */
final class DiscoveryQueue {
    static final double QUEUE_TIMEOUT = 2_000;

    /** How the service answered a call. */
    enum Answer { SERVED, REJECTED_AT_ONCE, REJECTED_LATE }

    /** The answer to a call and the time at which it arrives. */
    record Outcome(double at, int caller, Answer answer) {}

    private final double msPerCall;
    private final int maxQueueLength;
    private double freeAt;

    DiscoveryQueue(double callsPerSecond, int maxQueueLength) {
        this.msPerCall = 1_000 / callsPerSecond;
        this.maxQueueLength = maxQueueLength;
    }

    /** Adds a call and returns its future outcome. */
    Outcome call(double now, int caller, double downUntil) {
        if (now < downUntil) {
            return new Outcome(now + QUEUE_TIMEOUT, caller, Answer.REJECTED_LATE);
        }
        freeAt = Math.max(freeAt, now);
        if ((freeAt - now) / msPerCall >= maxQueueLength) {
            return new Outcome(now, caller, Answer.REJECTED_AT_ONCE);
        }
        freeAt += msPerCall;
        return freeAt - now <= QUEUE_TIMEOUT ? new Outcome(freeAt, caller, Answer.SERVED)
            : new Outcome(now + QUEUE_TIMEOUT, caller, Answer.REJECTED_LATE);
    }
}
