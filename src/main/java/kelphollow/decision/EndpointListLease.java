package kelphollow.decision;

import kelphollow.decision.ControlEvent.EndpointPollFailure;

/**
 * A lease on the endpoint list: until when an instance may act on the list that it holds. Guards against
 * sending by a list that nobody has confirmed for longer than the time after which a change counts as
 * notified, whatever the reason: a process that has just started and has only the list of its configuration,
 * a service that rejects its calls, a watch that is silent.
 *
 * <p>The lease runs for a fixed term from the latest moment of which this is sure: nothing unreceived can
 * have begun to count as notified by then. Such a moment is one up to which the received list is complete, or
 * one at which the service could not be reached, since a change counts as notified only once it can be
 * received. Failures that show a service which is there do not renew the lease.
 *
 * <p>Times are milliseconds. Constant memory; for one thread; no clock of its own.
 */
public final class EndpointListLease {
    /** What the lease rests on. */
    public enum State {
        /**
         * Nothing was received since the start, and the service was not found down: the list may not be used.
         */
        NEVER_HEARD,
        /** The received list is recent enough. */
        CURRENT,
        /** The service was found down a short while ago: the last list stands. */
        SERVICE_DOWN,
        /** The service is there for all that is known, and the last list is too old: it may not be used. */
        EXPIRED
    }

    /** Failures in a row that show an instance which has just started that the service is down. */
    static final int FAILURES_AT_START = 2;
    /**
     * A crowd of all instances is over in this multiple of the time over which their first calls are spread.
     */
    static final double SPREADS_PER_CROWD = 2;
    /** The longest time for which a crowd is reckoned with. */
    static final double LONGEST_CROWD_MS = 30_000;
    /** After a move to another service a change there counts as notified after this time. */
    static final double NOTIFIED_AFTER_MOVE_MS = 4_000;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final double term;
    private final double notifiedAfter;
    private final boolean pushed;
    private final double crowdLasts;
    private double confirmedUpTo = NEVER;
    private double downAt = NEVER;
    /**
     * Bound on the moment that the lease runs from, until the new source has answered; infinite without a
     * move.
     */
    private double sourceChangeBound = Double.POSITIVE_INFINITY;
    private int failures;
    private double firstFailureAt;

    private EndpointListLease(double notifiedAfter, double ownLateness, boolean pushed, double crowdLasts) {
        this.notifiedAfter = notifiedAfter;
        this.term = notifiedAfter - ownLateness;
        this.pushed = pushed;
        this.crowdLasts = crowdLasts;
    }

    /**
     * For a list that instances poll: nothing is sent before the service has answered.
     *
     * @param notifiedAfter time after which a change at the service counts as notified
     * @param ownLateness time by which this instance may act late
     * @param instances number of instances that poll the service
     */
    public static EndpointListLease polled(double notifiedAfter, double ownLateness, int instances) {
        double spread = SPREADS_PER_CROWD * instances * EndpointPollSchedule.SPREAD_PER_INSTANCE_MS;
        return new EndpointListLease(notifiedAfter, ownLateness, false, Math.min(LONGEST_CROWD_MS, spread));
    }

    /**
     * For a list that an agent on the same machine is sent and gives out at once. It is silent only while the
     * service is down; a refused connection shows at once that there is none.
     */
    public static EndpointListLease pushed(double notifiedAfter, double ownLateness) {
        return new EndpointListLease(notifiedAfter, ownLateness, true, 0);
    }

    /** For a list without a source that must be obeyed, such as one of the configuration: it never ends. */
    public static EndpointListLease unbounded() {
        EndpointListLease lease = new EndpointListLease(0, 0, true, 0);
        lease.confirmedUpTo = Double.POSITIVE_INFINITY;
        return lease;
    }

    /** A list has come that is complete up to {@code asOf}. */
    public void confirmed(double asOf) {
        confirmedUpTo = Math.max(confirmedUpTo, asOf);
        sourceChangeBound = Double.POSITIVE_INFINITY;
        failures = 0;
    }

    /** A call that was made at {@code calledAt} failed after {@code took}. */
    public void failed(EndpointPollFailure failure, double calledAt, double took) {
        if (!showsServiceDown(failure, took)) {
            failures = failure == EndpointPollFailure.WATCH_BROKEN ? failures : 0;
            return;
        }
        firstFailureAt = failures == 0 ? calledAt : firstFailureAt;
        failures++;
        if (confirmedUpTo > NEVER || showsServiceDownAtStart(failure, calledAt + took)) {
            downAt = Math.max(downAt, calledAt);
        }
    }

    private boolean showsServiceDownAtStart(EndpointPollFailure failure, double now) {
        if (pushed && failure == EndpointPollFailure.UNREACHABLE) {
            return true;
        }
        return failures >= FAILURES_AT_START && now - firstFailureAt >= crowdLasts;
    }

    /**
     * A call to begin a watch that was refused, reset, or rejected after it had been queued; and silence,
     * where the list is pushed. Elsewhere silence is a broken watch, and a call that is rejected at once has
     * met a full queue: the service is there, and its changes count as notified.
     */
    private boolean showsServiceDown(EndpointPollFailure failure, double took) {
        return switch (failure) {
            case UNREACHABLE -> true;
            case TIMED_OUT -> pushed;
            case REJECTED -> took >= EndpointPollSchedule.QUEUED_AFTER_MS;
            case WATCH_BROKEN, INVALID_RESPONSE -> false;
        };
    }

    /** The list comes from another service from now on, whose changes count as notified sooner. */
    public void sourceChanged(double now) {
        sourceChangeBound = Math.min(sourceChangeBound, now + NOTIFIED_AFTER_MOVE_MS - notifiedAfter);
        downAt = Math.min(downAt, sourceChangeBound);
        failures = 0;
    }

    /** Until when the list may be acted on. */
    public double validUntil() {
        return Math.min(Math.max(confirmedUpTo, downAt), Math.max(sourceChangeBound, downAt)) + term;
    }

    /** Whether the list may be acted on now. */
    public boolean isValid(double now) {
        return now < validUntil();
    }

    /** What the lease rests on now. */
    public State state(double now) {
        if (isValid(now)) {
            boolean current = now < Math.min(confirmedUpTo, sourceChangeBound) + term;
            return current ? State.CURRENT : State.SERVICE_DOWN;
        }
        return confirmedUpTo == NEVER ? State.NEVER_HEARD : State.EXPIRED;
    }
}
