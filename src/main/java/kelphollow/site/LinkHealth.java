package kelphollow.site;

/**
 * Failure detector of a link to another site. A ping is sent at intervals, and its answers give the round trip and its
 * variation (RFC 6298, Jacobson 1988). A ping that is not answered within a few round trips means that the link stalls,
 * whatever else still arrives on it: a stall of one direction is a stall. Silence for long means that it is down. Times are
 * milliseconds on the caller's clock. Confined to one event loop.
 */
public final class LinkHealth {
    /** What may be done with the link. */
    public enum State {
        /** It takes new requests. */
        UP,
        /** It takes nothing new; what is in flight may still be answered. */
        STALLED,
        /** It is to be closed: nothing is waited for any more. */
        DOWN
    }

    /**
     * Times in milliseconds.
     *
     * @param pingInterval between two pings; one at a time is in flight
     * @param minPingTimeout a ping is never missed sooner, so that pauses of the remote process are no stall
     * @param maxPingTimeout a ping is missed at the latest after this, however slow the link was
     * @param downAfter a ping that has been in flight for so long means that the link is down
     * @param answersToRecover pings in a row that must be answered in time before a stalled link takes new requests again
     */
    public record Options(double pingInterval, double minPingTimeout, double maxPingTimeout, double downAfter,
                          int answersToRecover) {
        /** What holds where the operator sets nothing. */
        public static final Options DEFAULTS = new Options(50, 60, 1_000, 10_000, 2);
    }

    /** RFC 6298, section 2: gain of the smoothed round trip. */
    private static final double GAIN = 1 / 8.0;
    /** RFC 6298, section 2: gain of the variation. */
    private static final double VARIATION_GAIN = 1 / 4.0;
    /** RFC 6298, section 2: how many variations count. */
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
    private int answersMissingToRecover;

    /** A link that has just come up: it takes requests at once, since it has just answered a hello. */
    public LinkHealth(Options options, double now) {
        this.options = options;
        this.lastPingAt = now;
    }

    /** Whether a ping is due; if so it counts as sent, under {@link #pingNumber}. */
    public boolean isPingDue(double now) {
        if (!Double.isNaN(pingInFlightSince) || now - lastPingAt < options.pingInterval) {
            return false;
        }
        pings++;
        pingInFlightSince = now;
        lastPingAt = now;
        return true;
    }

    /** The number of the last ping. */
    public long pingNumber() {
        return pings;
    }

    /** A ping was answered. An answer to another than the last one is ignored: it is late or forged. */
    public void pingAnswered(long number, double now) {
        if (number != pings || Double.isNaN(pingInFlightSince)) {
            return;
        }
        state(now);                          // a ping that was missed counts as missed, even if nobody asked meanwhile
        double took = Math.max(0, now - pingInFlightSince);
        pingInFlightSince = Double.NaN;
        if (missed) {
            missed = false;                  // the duration of a stall is no round trip
            answersMissingToRecover = options.answersToRecover;
        } else {
            update(took);
            answersMissingToRecover = Math.max(0, answersMissingToRecover - 1);
        }
    }

    private void update(double took) {
        minRoundTrip = Math.min(minRoundTrip, took);
        if (Double.isNaN(roundTrip)) {
            roundTrip = took;
            variation = took / 2;
        } else {
            variation += VARIATION_GAIN * (Math.abs(took - roundTrip) - variation);
            roundTrip += GAIN * (took - roundTrip);
        }
    }

    /** How long a ping may be in flight before it is missed. */
    public double pingTimeout() {
        double wanted = Double.isNaN(roundTrip) ? options.maxPingTimeout : roundTrip + VARIATIONS * variation;
        return Math.max(options.minPingTimeout, Math.min(options.maxPingTimeout, wanted));
    }

    /** What may be done with the link now. */
    public State state(double now) {
        double inFlightFor = Double.isNaN(pingInFlightSince) ? 0 : now - pingInFlightSince;
        missed |= inFlightFor > pingTimeout();
        down |= inFlightFor > options.downAfter;
        if (down) {
            return State.DOWN;
        }
        return missed || answersMissingToRecover > 0 ? State.STALLED : State.UP;
    }

    /** The smoothed round trip; 0 before the first answer. */
    public double roundTrip() {
        return Double.isNaN(roundTrip) ? 0 : roundTrip;
    }

    /** The shortest round trip so far: the propagation delay, without queueing. */
    public double minRoundTrip() {
        return Double.isInfinite(minRoundTrip) ? 0 : minRoundTrip;
    }

    /**
     * An upper bound on the delay of one direction, with its variation. Half a round trip would be the mean, and one
     * direction may be slower than the other: the complete round trip is the bound that holds for each.
     */
    public double oneWayDelayBound() {
        return Double.isNaN(roundTrip) ? 0 : roundTrip + VARIATIONS * variation;
    }
}
