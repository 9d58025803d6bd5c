package kelphollow.site;

/**
 * Failure detector of a link to another site. Sends a ping at intervals and estimates the round trip and its variation from
 * the answers (RFC 6298, Jacobson 1988). A ping that is not answered within a few round trips means that the link stalls,
 * even if other frames still arrive, since a stall of one direction is enough. A ping that is not answered for a long time
 * means that the link is down. Times are in milliseconds on the caller's clock. Confined to one event loop.
 */
public final class LinkHealth {
    /** State of the link. */
    public enum State {
        /** Accepts new requests. */
        UP,
        /** Accepts no new requests; those in flight may still be answered. */
        STALLED,
        /** Must be closed; no response is expected any more. */
        DOWN
    }

    /**
     * Parameters of the failure detector. Times are in milliseconds.
     *
     * @param pingInterval interval between pings; at most one is in flight
     * @param minPingTimeout lower bound on the ping timeout, so that pauses of the remote process do not count as a stall
     * @param maxPingTimeout upper bound on the ping timeout, for any measured round trip
     * @param downAfter time in flight of a ping after which the link is down
     * @param answersToRecover consecutive pings that must be answered in time before a stalled link accepts new requests
     */
    public record Options(double pingInterval, double minPingTimeout, double maxPingTimeout, double downAfter,
                          int answersToRecover) {
        /** The values used unless the operator configures others. */
        public static final Options DEFAULTS = new Options(50, 60, 1_000, 10_000, 2);
    }

    /** RFC 6298, section 2: gain of the smoothed round trip. */
    private static final double GAIN = 1 / 8.0;
    /** RFC 6298, section 2: gain of the variation. */
    private static final double VARIATION_GAIN = 1 / 4.0;
    /** RFC 6298, section 2: multiple of the variation in the timeout. */
    private static final double VARIATIONS = 4;

    private final Options options;
    private double roundTrip = Double.NaN;
    private double variation;
    private double minRoundTrip = Double.POSITIVE_INFINITY;
    private long pings;
    /** When the ping in flight was sent, NaN if none is. */
    private double pingInFlightSince = Double.NaN;
    private double lastPingAt;
    private boolean missed;
    private boolean down;
    private int answersLeftToRecover;

    /** Creates the state of a link that has just come up; it accepts requests at once, since its hello was just answered. */
    public LinkHealth(Options options, double now) {
        this.options = options;
        this.lastPingAt = now;
    }

    /** Returns whether a ping is due; if so, it counts as sent with number {@link #pingNumber}. */
    public boolean isPingDue(double now) {
        if (!Double.isNaN(pingInFlightSince) || now - lastPingAt < options.pingInterval) {
            return false;
        }
        pings++;
        pingInFlightSince = now;
        lastPingAt = now;
        return true;
    }

    /** Returns the number of the last ping. */
    public long pingNumber() {
        return pings;
    }

    /** Handles an answer to a ping. Answers to any but the last ping are late or forged, and are ignored. */
    public void pingAnswered(long number, double now) {
        if (number != pings || Double.isNaN(pingInFlightSince)) {
            return;
        }
        state(now);                          // a late ping counts as missed even if the state was not read meanwhile
        double sample = Math.max(0, now - pingInFlightSince);
        pingInFlightSince = Double.NaN;
        if (missed) {
            missed = false;                  // the duration of a stall is not a round trip
            answersLeftToRecover = options.answersToRecover;
        } else {
            update(sample);
            answersLeftToRecover = Math.max(0, answersLeftToRecover - 1);
        }
    }

    private void update(double sample) {
        minRoundTrip = Math.min(minRoundTrip, sample);
        if (Double.isNaN(roundTrip)) {
            roundTrip = sample;
            variation = sample / 2;
        } else {
            variation += VARIATION_GAIN * (Math.abs(sample - roundTrip) - variation);
            roundTrip += GAIN * (sample - roundTrip);
        }
    }

    /** Returns how long a ping may be in flight before it counts as missed. */
    public double pingTimeout() {
        double estimate = Double.isNaN(roundTrip) ? options.maxPingTimeout : roundTrip + VARIATIONS * variation;
        return Math.max(options.minPingTimeout, Math.min(options.maxPingTimeout, estimate));
    }

    /** Returns the current state of the link. */
    public State state(double now) {
        double inFlightFor = Double.isNaN(pingInFlightSince) ? 0 : now - pingInFlightSince;
        missed |= inFlightFor > pingTimeout();
        down |= inFlightFor > options.downAfter;
        if (down) {
            return State.DOWN;
        }
        return missed || answersLeftToRecover > 0 ? State.STALLED : State.UP;
    }

    /** Returns the smoothed round trip; 0 before the first answer. */
    public double roundTrip() {
        return Double.isNaN(roundTrip) ? 0 : roundTrip;
    }

    /** Returns the shortest round trip so far, which estimates the propagation delay without queueing. */
    public double minRoundTrip() {
        return Double.isInfinite(minRoundTrip) ? 0 : minRoundTrip;
    }

    /**
     * Returns an upper bound on the one-way delay, including its variation. Half a round trip is only the mean of the two
     * directions, and either may be the slower one, so the bound is the complete round trip.
     */
    public double oneWayDelayBound() {
        return Double.isNaN(roundTrip) ? 0 : roundTrip + VARIATIONS * variation;
    }
}
