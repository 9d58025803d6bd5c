package kelphollow.decision;

import kelphollow.decision.ControlEvent.EndpointPollFailure;

/**
 * Lease on the endpoint list: determines until when an instance may act on the list that it holds. It
 * prevents sending by a list that was last confirmed longer ago than the time after which a change counts as
 * notified. That happens when a process has just started and has only the list of its configuration, when the
 * service rejects its calls, or when a watch is silent.
 *
 * <p>The lease runs for a fixed term from the latest time at which certainly no change that this instance has
 * not received had begun to count as notified. That is either the time up to which the received list is
 * complete, or a time at which the service could not be reached, since a change counts as notified only once
 * it can be received. Failures that show that the service is up do not renew the lease.
 *
 * <p>Times are milliseconds. Constant memory. Not thread-safe. Callers pass the time.
 */
public final class EndpointListLease {
    /** What the validity of the lease is based on. */
    public enum State {
        /**
         * No list was received since the start, and the service was not found down: the list must not be
         * used.
         */
        NEVER_HEARD,
        /** The received list is recent enough. */
        CURRENT,
        /** The service was recently found down: the last list may still be used. */
        SERVICE_DOWN,
        /** The last list is too old, and the service was not found down: the list must not be used. */
        EXPIRED
    }

    /** Consecutive failures after which an instance that has just started takes the service as down. */
    static final int FAILURES_AT_START = 2;
    /**
     * Duration of the burst of calls after a start of all instances, as a multiple of the time over which
     * their first calls are spread.
     */
    static final double SPREADS_PER_STARTUP_BURST = 2;
    /** Upper bound of the assumed duration of a startup burst. */
    static final double MAX_STARTUP_BURST_MS = 30_000;
    /** Time after which a change counts as notified once the list comes from another service. */
    static final double NEW_SOURCE_NOTIFIED_AFTER_MS = 4_000;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final double term;
    private final double notifiedAfter;
    private final boolean pushed;
    private final double startupBurst;
    private double confirmedUpTo = NEVER;
    private double downAt = NEVER;
    /**
     * Upper bound of the time from which the lease runs, until the new source has answered; positive infinity
     * if the source has not changed.
     */
    private double sourceChangeBound = Double.POSITIVE_INFINITY;
    private int failures;
    private double firstFailureAt;

    private EndpointListLease(double notifiedAfter, double localDelay, boolean pushed, double startupBurst) {
        this.notifiedAfter = notifiedAfter;
        this.term = notifiedAfter - localDelay;
        this.pushed = pushed;
        this.startupBurst = startupBurst;
    }

    /**
     * Creates a lease for a list that instances poll: nothing is sent before the service has answered or was
     * found down.
     *
     * @param notifiedAfter time after which a change at the service counts as notified
     * @param localDelay time by which this instance may act late; shortens the lease
     * @param instances number of instances that poll the service; determines the duration of a startup burst
     */
    public static EndpointListLease polled(double notifiedAfter, double localDelay, int instances) {
        double burst = SPREADS_PER_STARTUP_BURST * instances * EndpointPollSchedule.SPREAD_PER_INSTANCE_MS;
        return new EndpointListLease(notifiedAfter, localDelay, false, Math.min(MAX_STARTUP_BURST_MS, burst));
    }

    /**
     * Creates a lease for a list that an agent on the same machine receives and forwards at once. The agent
     * is silent only while the service is down; a refused connection shows at once that there is no agent.
     */
    public static EndpointListLease pushed(double notifiedAfter, double localDelay) {
        return new EndpointListLease(notifiedAfter, localDelay, true, 0);
    }

    /**
     * Creates a lease that never ends, for a list without an authoritative source, such as a configured list.
     */
    public static EndpointListLease unbounded() {
        EndpointListLease lease = new EndpointListLease(0, 0, true, 0);
        lease.confirmedUpTo = Double.POSITIVE_INFINITY;
        return lease;
    }

    /** A list was received that is complete up to time {@code asOf}. */
    public void confirmed(double asOf) {
        confirmedUpTo = Math.max(confirmedUpTo, asOf);
        sourceChangeBound = Double.POSITIVE_INFINITY;
        failures = 0;
    }

    /** A call made at {@code calledAt} failed after {@code duration}. */
    public void failed(EndpointPollFailure failure, double calledAt, double duration) {
        if (!showsServiceDown(failure, duration)) {
            failures = failure == EndpointPollFailure.WATCH_BROKEN ? failures : 0;
            return;
        }
        firstFailureAt = failures == 0 ? calledAt : firstFailureAt;
        failures++;
        if (confirmedUpTo > NEVER || showsServiceDownAtStart(failure, calledAt + duration)) {
            downAt = Math.max(downAt, calledAt);
        }
    }

    private boolean showsServiceDownAtStart(EndpointPollFailure failure, double now) {
        if (pushed && failure == EndpointPollFailure.UNREACHABLE) {
            return true;
        }
        return failures >= FAILURES_AT_START && now - firstFailureAt >= startupBurst;
    }

    /**
     * Whether a failure shows that the service is down: the call that starts a watch was refused, reset, or
     * rejected after it had been queued; or it timed out, if the list is pushed. For a polled list a timeout
     * counts as a broken watch, and a call that is rejected immediately has found a full queue: the service
     * is up, and its changes count as notified.
     */
    private boolean showsServiceDown(EndpointPollFailure failure, double duration) {
        return switch (failure) {
            case UNREACHABLE -> true;
            case TIMED_OUT -> pushed;
            case REJECTED -> duration >= EndpointPollSchedule.IMMEDIATE_REJECTION_MS;
            case WATCH_BROKEN, INVALID_RESPONSE -> false;
        };
    }

    /** The list comes from another service from {@code now} on, whose changes count as notified sooner. */
    public void sourceChanged(double now) {
        sourceChangeBound = Math.min(sourceChangeBound, now + NEW_SOURCE_NOTIFIED_AFTER_MS - notifiedAfter);
        downAt = Math.min(downAt, sourceChangeBound);
        failures = 0;
    }

    /** Time until which the list may be used. */
    public double validUntil() {
        return Math.min(Math.max(confirmedUpTo, downAt), Math.max(sourceChangeBound, downAt)) + term;
    }

    /** Whether the list may be used at time {@code now}. */
    public boolean isValid(double now) {
        return now < validUntil();
    }

    /** What the validity of the lease is based on at time {@code now}. */
    public State state(double now) {
        if (isValid(now)) {
            boolean current = now < Math.min(confirmedUpTo, sourceChangeBound) + term;
            return current ? State.CURRENT : State.SERVICE_DOWN;
        }
        return confirmedUpTo == NEVER ? State.NEVER_HEARD : State.EXPIRED;
    }
}
