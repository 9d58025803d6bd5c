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

    /** Time after which a change counts as notified once the list comes from another service. */
    static final double NEW_SOURCE_NOTIFIED_AFTER_MS = 4_000;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final double term;
    private final double notifiedAfter;
    private final OutageDetector outages;
    /** Pushed lists: time for which the list may be used after an unreadable answer. */
    private final double unreadableTerm;
    private double confirmedUpTo = NEVER;
    private double downAt = NEVER;
    /**
     * Upper bound of the time from which the lease runs, until the new source has answered; positive infinity
     * if the source has not changed.
     */
    private double sourceChangeBound = Double.POSITIVE_INFINITY;
    /** Pushed lists: time of the first unreadable answer since the last list; infinity if none. */
    private double unreadableSince = Double.POSITIVE_INFINITY;

    private EndpointListLease(double notifiedAfter, double localDelay, OutageDetector outages,
        double unreadableTerm) {
        this.notifiedAfter = notifiedAfter;
        this.term = notifiedAfter - localDelay;
        this.outages = outages;
        this.unreadableTerm = unreadableTerm;
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
        return new EndpointListLease(notifiedAfter, localDelay, OutageDetector.polled(instances),
            Double.POSITIVE_INFINITY);
    }

    /**
     * Creates a lease for a list that an agent on the same machine receives and forwards at once. The agent
     * is silent only while the service is down; a refused connection shows at once that there is no agent.
     * What the agent has counts as notified at once, so after an answer that cannot be read the list may be
     * used for the grace of draining nodes only.
     *
     * @param drainGrace time for which a draining node may still get requests
     */
    public static EndpointListLease pushed(double notifiedAfter, double localDelay, double drainGrace) {
        return new EndpointListLease(notifiedAfter, localDelay, OutageDetector.pushed(),
            Math.max(0, drainGrace - localDelay));
    }

    /**
     * Creates a lease that never ends, for a list without an authoritative source, such as a configured list.
     */
    public static EndpointListLease unbounded() {
        EndpointListLease lease = new EndpointListLease(0, 0, OutageDetector.pushed(),
            Double.POSITIVE_INFINITY);
        lease.confirmedUpTo = Double.POSITIVE_INFINITY;
        return lease;
    }

    /** A list was received that is complete up to time {@code asOf}. */
    public void confirmed(double asOf) {
        confirmedUpTo = Math.max(confirmedUpTo, asOf);
        sourceChangeBound = Double.POSITIVE_INFINITY;
        unreadableSince = Double.POSITIVE_INFINITY;
        outages.reset();
    }

    /** A call made at {@code calledAt} failed after {@code duration}. */
    public void failed(EndpointPollFailure failure, double calledAt, double duration) {
        if (!outages.isEvidence(failure, calledAt, duration)) {
            if (failure == EndpointPollFailure.INVALID_RESPONSE) {
                unreadableSince = Math.min(unreadableSince, calledAt + duration);
            }
            return;
        }
        unreadableSince = Double.POSITIVE_INFINITY;
        if (confirmedUpTo > NEVER || outages.isDownAtStart(failure, calledAt + duration)) {
            downAt = Math.max(downAt, calledAt);
        }
    }

    /** The list comes from another service from {@code now} on, whose changes count as notified sooner. */
    public void sourceChanged(double now) {
        sourceChangeBound = Math.min(sourceChangeBound, now + NEW_SOURCE_NOTIFIED_AFTER_MS - notifiedAfter);
        downAt = Math.min(downAt, sourceChangeBound);
        outages.reset();
    }

    /** Time until which the list may be used. */
    public double validUntil() {
        double byAge = Math.min(Math.max(confirmedUpTo, downAt), Math.max(sourceChangeBound, downAt)) + term;
        return Math.min(byAge, unreadableSince + unreadableTerm);
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
