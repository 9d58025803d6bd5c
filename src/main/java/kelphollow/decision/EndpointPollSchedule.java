package kelphollow.decision;

import java.util.random.RandomGenerator;

/**
 * When one instance asks a shared discovery service for the node list. Guards against a fleet whose calls
 * keep the service overloaded by themselves: the service works through a queue of bounded length, whether or
 * not the callers still wait, so that a full queue serves nobody in time, and only fewer calls a second empty
 * it.
 *
 * <p>The first call after a start is spread over the fleet's size, and a failed call is repeated after a
 * jittered pause. The pause doubles once a call was turned away at once, which is what a full queue does, and
 * from then on with each call that is turned away. An outage, whose calls fail late or by a reset, does not
 * lengthen it: news counts as told soon after the service is back.
 *
 * <p>Times are milliseconds. Constant memory; for one thread.
 */
public final class EndpointPollSchedule {
    /** The longest pause after a failure that is no sign of a full queue. */
    public static final double LONGEST_PAUSE = 1_400;
    /** The shortest pause, as a share of the longest one. */
    static final double SHORTEST_SHARE = 0.3;
    /** What each instance of the fleet adds to the time over which the first calls are spread. */
    static final double SPREAD_PER_INSTANCE = 60;
    /** The part of the time for which an instance need not ask that its first call may use up. */
    static final double FIRST_CALL_SHARE = 0.6;
    /** A call that was turned away sooner than this has not waited its turn: the queue was full. */
    static final double WAITED_ITS_TURN = 300;
    /** The longest pause before a full queue is called again, as a multiple of that time. */
    static final double BACKOFF_SPREAD = 4;
    /** The longest pause at any size of the fleet. */
    static final double LONGEST_BACKOFF = 120_000;

    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final RandomGenerator random;
    private final double firstCallWithin;
    private final double longestBackoff;
    private double dueAt = NEVER;
    private double askedAt;
    private double pause = LONGEST_PAUSE;
    /** A call has met a full queue since the list was last heard. */
    private boolean queueFull;

    /**
     * @param instances the size of the fleet that shares the service, at least 1
     * @param askEvery for how long an instance without a watch need not ask; 0: its first call is due at once
     */
    EndpointPollSchedule(int instances, double pollInterval, RandomGenerator random) {
        this.random = random;
        double spread = instances * SPREAD_PER_INSTANCE;
        this.firstCallWithin = Math.min(spread, pollInterval * FIRST_CALL_SHARE);
        this.longestBackoff = Math.max(LONGEST_PAUSE, Math.min(spread * BACKOFF_SPREAD, LONGEST_BACKOFF));
    }

    /** The instance has started; its first call becomes due. */
    void started(double now) {
        dueAt = now + firstCallWithin * random.nextDouble();
    }

    /**
     * The service has been replaced by another one, whose news soon counts as told: a call is due at once.
     */
    void moved(double now) {
        pause = LONGEST_PAUSE;
        queueFull = false;
        dueAt = now;
    }

    /** The list has come, and its watch goes on by itself. */
    void heard() {
        pause = LONGEST_PAUSE;
        queueFull = false;
        dueAt = NEVER;
    }

    /**
     * A call or a watch has failed; {@code turnedAway}: it was to begin a watch, and the service would not
     * serve it.
     */
    void failed(double now, boolean turnedAway) {
        queueFull |= turnedAway && now - askedAt < WAITED_ITS_TURN;
        if (turnedAway && queueFull) {
            pause = Math.min(longestBackoff, 2 * pause);
        }
        dueAt = now + pause * (SHORTEST_SHARE + (1 - SHORTEST_SHARE) * random.nextDouble());
    }

    /** Whether a call is due; it is then taken as made now. */
    boolean takeDue(double now) {
        if (now < dueAt) {
            return false;
        }
        askedAt = now;
        dueAt = NEVER;
        return true;
    }

    /** When the next call is due; infinite while none is. */
    double dueAt() {
        return dueAt;
    }
}
