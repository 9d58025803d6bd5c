package kelphollow.decision;

import kelphollow.decision.ControlEvent.EndpointPollFailure;

/**
 * A lease on the node list: until when an instance may act on the list that it holds. Guards against sending
 * by a list that nobody has confirmed for longer than the time after which a change counts as told, whatever
 * the reason: a process that has just started and has only the list of its configuration, a service that
 * turns its calls away, a watch that is silent.
 *
 * <p>The lease runs for a fixed term from the latest moment of which this is sure: nothing unheard can have
 * begun to count by then. Such a moment is one up to which the service's word is complete, or one at which
 * the service could not be reached, since a change only counts once it can. Failures that show a service
 * which is there do not renew the lease.
 *
 * <p>Times are milliseconds. Constant memory; for one thread; no clock of its own.
 */
public final class EndpointListLease {
    /** What the lease rests on. */
    public enum State {
        /**
         * Nothing has come from the service since the start, and it has not been found down: the list may not
         * be used.
         */
        NEVER_HEARD,
        /** The service's word is young enough. */
        CURRENT,
        /** The service was found down a short while ago: its last word stands. */
        SERVICE_DOWN,
        /**
         * The service is there for all that is known, and its last word is too old: the list may not be used.
         */
        EXPIRED
    }

    /**
     * So many calls in a row without an answer, over at least the time that a crowd may last, show an
     * instance that has just started that the service is down.
     */
    static final int SIGNS_AT_START = 2;
    /**
     * A crowd of all instances is over in this many times the time over which {@link EndpointPollSchedule} spreads them.
     */
    static final double CROWD_SPREADS = 2;
    /** The longest time for which a crowd is reckoned with, in milliseconds. */
    static final double LONGEST_CROWD = 30_000;
    /** After a move to another service its news counts after this time, in milliseconds. */
    static final double MOVED_TOLD_AFTER = 4_000;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final double term;
    private final double toldAfter;
    private final boolean pushed;
    private final double crowdLasts;
    private double heardUpTo = NEVER;
    private double downAt = NEVER;
    private double notBefore = Double.POSITIVE_INFINITY;
    private int signs;
    private double firstSignAt;

    private EndpointListLease(double toldAfter, double ownLateness, boolean pushed, double crowdLasts) {
        this.toldAfter = toldAfter;
        this.term = toldAfter - ownLateness;
        this.pushed = pushed;
        this.crowdLasts = crowdLasts;
    }

    /** For a list that so many instances must ask for: nothing is sent before the service has spoken. */
    public static EndpointListLease asked(double toldAfter, double ownLateness, int instances) {
        double crowd = Math.min(LONGEST_CROWD, CROWD_SPREADS * instances * EndpointPollSchedule.SPREAD_PER_INSTANCE);
        return new EndpointListLease(toldAfter, ownLateness, false, crowd);
    }

    /**
     * For a list that an agent on the same machine is sent and gives out at once. It is silent only while
     * the service is down; a refused connection shows at once that there is none.
     */
    public static EndpointListLease pushed(double toldAfter, double ownLateness) {
        return new EndpointListLease(toldAfter, ownLateness, true, 0);
    }

    /**
     * For lists whose source nobody holds this instance to, such as one written into the configuration: it
     * never ends.
     */
    public static EndpointListLease unbounded() {
        EndpointListLease lease = new EndpointListLease(0, 0, true, 0);
        lease.heardUpTo = Double.POSITIVE_INFINITY;
        return lease;
    }

    /** A list has come that is complete up to {@code asOf}. */
    public void confirmed(double asOf) {
        heardUpTo = Math.max(heardUpTo, asOf);
        notBefore = Double.POSITIVE_INFINITY;
        signs = 0;
    }

    /** A call that was made at {@code calledAt} failed after so many milliseconds. */
    public void failed(EndpointPollFailure failure, double calledAt, double took) {
        if (!showsServiceDown(failure, took)) {
            signs = failure == EndpointPollFailure.WATCH_BROKEN ? signs : 0;
            return;
        }
        firstSignAt = signs == 0 ? calledAt : firstSignAt;
        signs++;
        if (heardUpTo > NEVER || showsItAtStart(failure, calledAt + took)) {
            downAt = Math.max(downAt, calledAt);
        }
    }

    private boolean showsItAtStart(EndpointPollFailure failure, double now) {
        if (pushed && failure == EndpointPollFailure.UNREACHABLE) {
            return true;
        }
        return signs >= SIGNS_AT_START && now - firstSignAt >= crowdLasts;
    }

    /**
     * A call to begin a watch that was refused, reset, or turned away after it had waited; and silence, where
     * the list is pushed. Elsewhere silence is a broken watch, and a call that is turned away at once has met
     * a full queue: the service is there, and its news counts.
     */
    private boolean showsServiceDown(EndpointPollFailure failure, double took) {
        return switch (failure) {
            case UNREACHABLE -> true;
            case TIMED_OUT -> pushed;
            case REJECTED -> took >= EndpointPollSchedule.WAITED_ITS_TURN;
            case WATCH_BROKEN, INVALID_RESPONSE -> false;
        };
    }

    /** The list comes from another service from now on, whose news counts sooner. */
    public void moved(double now) {
        notBefore = Math.min(notBefore, now + MOVED_TOLD_AFTER - toldAfter);
        downAt = Math.min(downAt, notBefore);
        signs = 0;
    }

    /** Until when the list may be acted on. */
    public double validUntil() {
        return Math.min(Math.max(heardUpTo, downAt), Math.max(notBefore, downAt)) + term;
    }

    /** Whether the list may be acted on now. */
    public boolean isValid(double now) {
        return now < validUntil();
    }

    /** What the lease rests on now. */
    public State state(double now) {
        if (isValid(now)) {
            return now < Math.min(heardUpTo, notBefore) + term ? State.CURRENT : State.SERVICE_DOWN;
        }
        return heardUpTo == NEVER ? State.NEVER_HEARD : State.EXPIRED;
    }
}
