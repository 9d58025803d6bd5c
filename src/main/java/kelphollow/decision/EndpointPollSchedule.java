package kelphollow.decision;

import java.util.random.RandomGenerator;

/**
 * When one instance polls a shared discovery service for the endpoint list. Guards against a fleet whose
 * calls keep the service overloaded by themselves: the service works through a queue of bounded length,
 * whether or not the callers still wait, so that a full queue serves nobody in time, and only fewer calls a
 * second empty it.
 *
 * <p>The first call after a start is spread over the fleet's size, and a failed call is retried after a
 * backoff with jitter. The backoff doubles once a call was rejected at once, which is what a full queue does,
 * and from then on with each call that is rejected. An outage, whose calls fail late or by a reset, does not
 * lengthen it: a change counts as notified soon after the service is back.
 *
 * <p>Times are milliseconds. Constant memory; for one thread.
 */
public final class EndpointPollSchedule {
    /** The longest backoff after a failure that is no sign of a full queue. */
    public static final double BASE_BACKOFF_MS = 1_400;
    /** The shortest backoff, as a share of the longest one: the jitter is between the two. */
    static final double LEAST_BACKOFF_SHARE = 0.3;
    /** What each instance of the fleet adds to the time over which the first calls are spread. */
    static final double SPREAD_PER_INSTANCE_MS = 60;
    /** Share of the poll interval that the first call may use up. */
    static final double FIRST_CALL_SHARE = 0.6;
    /** A call that was rejected sooner than this has not been queued: the queue was full. */
    static final double QUEUED_AFTER_MS = 300;
    /**
     * The longest backoff from a full queue, as a multiple of the time over which the first calls are spread.
     */
    static final double SPREADS_PER_BACKOFF = 4;
    /** The longest backoff at any size of the fleet. */
    static final double MAX_BACKOFF_MS = 120_000;

    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final RandomGenerator random;
    private final double firstCallWithin;
    private final double longestBackoff;
    private double dueAt = NEVER;
    private double calledAt;
    private double backoff = BASE_BACKOFF_MS;
    /** Whether a call has met a full queue since a list was last received. */
    private boolean queueFull;

    /**
     * @param instances the size of the fleet that shares the service, at least 1
     * @param pollInterval time for which an instance without a watch need not poll; 0: its first call is due
     *     at once
     * @param random the source of the jitter
     */
    EndpointPollSchedule(int instances, double pollInterval, RandomGenerator random) {
        this.random = random;
        double spread = instances * SPREAD_PER_INSTANCE_MS;
        this.firstCallWithin = Math.min(spread, pollInterval * FIRST_CALL_SHARE);
        double most = Math.min(spread * SPREADS_PER_BACKOFF, MAX_BACKOFF_MS);
        this.longestBackoff = Math.max(BASE_BACKOFF_MS, most);
    }

    /** The instance has started; its first call becomes due. */
    void started(double now) {
        dueAt = now + firstCallWithin * random.nextDouble();
    }

    /**
     * The service has been replaced by another one, whose changes soon count as notified: a call is due at
     * once.
     */
    void sourceChanged(double now) {
        backoff = BASE_BACKOFF_MS;
        queueFull = false;
        dueAt = now;
    }

    /** The list has come, and its watch goes on by itself. */
    void received() {
        backoff = BASE_BACKOFF_MS;
        queueFull = false;
        dueAt = NEVER;
    }

    /**
     * A call or a watch has failed; {@code rejected}: the service would not serve a call that was to begin a
     * watch.
     */
    void failed(double now, boolean rejected) {
        queueFull |= rejected && now - calledAt < QUEUED_AFTER_MS;
        if (rejected && queueFull) {
            backoff = Math.min(longestBackoff, 2 * backoff);
        }
        dueAt = now + backoff * (LEAST_BACKOFF_SHARE + (1 - LEAST_BACKOFF_SHARE) * random.nextDouble());
    }

    /** Whether a call is due; it is then taken as made now. */
    boolean takeDue(double now) {
        if (now < dueAt) {
            return false;
        }
        calledAt = now;
        dueAt = NEVER;
        return true;
    }

    /** When the next call is due; infinite while none is. */
    double dueAt() {
        return dueAt;
    }
}
