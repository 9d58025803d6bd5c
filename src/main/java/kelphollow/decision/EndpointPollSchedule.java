package kelphollow.decision;

import java.util.random.RandomGenerator;

/**
 * Decides when one instance polls a shared discovery service for the endpoint list. It prevents the fleet's
 * own calls from keeping the service overloaded: the service processes a queue of bounded length, including
 * calls whose callers no longer wait, so a full queue serves no caller in time and drains only if there are
 * fewer calls per second.
 *
 * <p>The first call after a start is delayed by a random time that grows with the fleet's size, and a failed
 * call is retried after a backoff with jitter. The backoff doubles when a call is rejected immediately, which
 * indicates a full queue, and from then on with each rejected call. An outage, in which calls fail late or by
 * a reset, does not lengthen the backoff, because a change counts as notified soon after the service is back.
 *
 * <p>Times are milliseconds. Constant memory. Not thread-safe.
 */
public final class EndpointPollSchedule {
    /** Longest backoff after a failure that does not indicate a full queue. */
    public static final double BASE_BACKOFF_MS = 1_400;
    /** Shortest backoff as a share of the longest one; the jitter chooses a value between the two. */
    static final double MIN_BACKOFF_SHARE = 0.3;
    /** Time that each instance of the fleet adds to the interval over which first calls are spread. */
    static final double SPREAD_PER_INSTANCE_MS = 60;
    /** Maximum delay of the first call, as a share of the poll interval. */
    static final double FIRST_CALL_SHARE = 0.6;
    /** A call rejected within less than this time was not queued: the service's queue was full. */
    static final double IMMEDIATE_REJECTION_MS = 300;
    /**
     * Longest backoff from a full queue, as a multiple of the interval over which first calls are spread.
     */
    static final double SPREADS_PER_MAX_BACKOFF = 4;
    /** Upper bound of the backoff for any fleet size. */
    static final double MAX_BACKOFF_MS = 120_000;

    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final RandomGenerator random;
    private final double maxFirstCallDelay;
    private final double maxBackoff;
    private double dueAt = NEVER;
    private double calledAt;
    private double backoff = BASE_BACKOFF_MS;
    /** Whether a call has found a full queue since a list was last received. */
    private boolean queueFull;

    /**
     * @param instances size of the fleet that shares the service, at least 1
     * @param pollInterval longest time that an instance without a watch may go without polling; 0: its first
     *     call is due immediately
     * @param random source of the jitter
     */
    EndpointPollSchedule(int instances, double pollInterval, RandomGenerator random) {
        this.random = random;
        double spread = instances * SPREAD_PER_INSTANCE_MS;
        this.maxFirstCallDelay = Math.min(spread, pollInterval * FIRST_CALL_SHARE);
        double spreadBackoff = Math.min(spread * SPREADS_PER_MAX_BACKOFF, MAX_BACKOFF_MS);
        this.maxBackoff = Math.max(BASE_BACKOFF_MS, spreadBackoff);
    }

    /** Schedules the first call of an instance that has started. */
    void started(double now) {
        dueAt = now + maxFirstCallDelay * random.nextDouble();
    }

    /**
     * Schedules a call immediately, because the service was replaced by another one, whose changes soon count
     * as notified.
     */
    void sourceChanged(double now) {
        backoff = BASE_BACKOFF_MS;
        queueFull = false;
        dueAt = now;
    }

    /** The list was received; no call is due while its watch continues. */
    void received() {
        backoff = BASE_BACKOFF_MS;
        queueFull = false;
        dueAt = NEVER;
    }

    /**
     * Schedules the next call after a call or a watch has failed.
     *
     * @param now clock time
     * @param rejected whether the service rejected the call that starts a watch
     */
    void failed(double now, boolean rejected) {
        queueFull |= rejected && now - calledAt < IMMEDIATE_REJECTION_MS;
        if (rejected && queueFull) {
            backoff = Math.min(maxBackoff, 2 * backoff);
        }
        dueAt = now + backoff * (MIN_BACKOFF_SHARE + (1 - MIN_BACKOFF_SHARE) * random.nextDouble());
    }

    /** Whether a call is due; if so, it is recorded as made at time {@code now}. */
    boolean takeDue(double now) {
        if (now < dueAt) {
            return false;
        }
        calledAt = now;
        dueAt = NEVER;
        return true;
    }

    /** Time at which the next call is due; positive infinity if none is scheduled. */
    double dueAt() {
        return dueAt;
    }
}
