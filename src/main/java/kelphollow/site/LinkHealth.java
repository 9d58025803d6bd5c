package kelphollow.site;

/**
 * Whether a link to another site lives. It is asked something every so often (a ping), and what it answers gives its
 * round trip and how that varies (RFC 6298, Jacobson 1988). A ping that is not answered within a few round trips means
 * that the link stands still, whatever else still comes from it: a stall of one direction is a stall. Silence for long
 * means that it is down. One event loop.
 */
public final class LinkHealth {
    /** What may be done with the link. */
    public enum State {
        /** It takes new work. */
        UP,
        /** It takes nothing new; what is out may still be answered. */
        STALLED,
        /** It is to be closed: nothing is waited for any more. */
        DOWN
    }

    /**
     * Times in milliseconds.
     *
     * @param pingEvery between two pings; one at a time is out
     * @param leastPatience a ping is never missed sooner, so that the other side's own pauses are no stall
     * @param mostPatience a ping is missed at the latest after this, however slow the link was
     * @param downAfter a ping that has been out for so long means that the link is down
     * @param recovery so many pings must be answered in time before a link that stood still takes new work again
     */
    public record Options(double pingEvery, double leastPatience, double mostPatience, double downAfter, int recovery) {
        public static final Options USUAL = new Options(50, 60, 1_000, 10_000, 2);
    }

    // RFC 6298, section 2: gains of the smoothed round trip and of its variation, and how many of the latter count.
    private static final double GAIN = 1 / 8.0, VARIATION_GAIN = 1 / 4.0, VARIATIONS = 4;

    private final Options options;
    private double roundTrip = Double.NaN, variation, least = Double.POSITIVE_INFINITY;
    private long pings;
    private double pingedAt = Double.NaN, lastPing;
    private boolean missed, down;
    private int owed;

    /** A link that has just come up: it takes work at once, since it has just answered a hello. */
    public LinkHealth(Options options, double now) {
        this.options = options;
        this.lastPing = now;
    }

    /** Whether a ping is due; if so it counts as sent, under {@link #pingNumber}. */
    public boolean wantsPing(double now) {
        if (!Double.isNaN(pingedAt) || now - lastPing < options.pingEvery) {
            return false;
        }
        pings++;
        pingedAt = lastPing = now;
        return true;
    }

    public long pingNumber() {
        return pings;
    }

    /** A ping was answered. An answer to another than the last one says nothing: it is late, or a lie. */
    public void answered(long number, double now) {
        if (number != pings || Double.isNaN(pingedAt)) {
            return;
        }
        state(now);                          // a ping that was missed counts as that, though nobody looked meanwhile
        double took = Math.max(0, now - pingedAt);
        pingedAt = Double.NaN;
        if (missed) {
            missed = false;                  // what stood still says nothing of how far the other site is
            owed = options.recovery;
        } else {
            learn(took);
            owed = Math.max(0, owed - 1);
        }
    }

    private void learn(double took) {
        least = Math.min(least, took);
        if (Double.isNaN(roundTrip)) {
            roundTrip = took;
            variation = took / 2;
        } else {
            variation += VARIATION_GAIN * (Math.abs(took - roundTrip) - variation);
            roundTrip += GAIN * (took - roundTrip);
        }
    }

    /** How long a ping may be out before it is missed. */
    public double patience() {
        double wanted = Double.isNaN(roundTrip) ? options.mostPatience : roundTrip + VARIATIONS * variation;
        return Math.max(options.leastPatience, Math.min(options.mostPatience, wanted));
    }

    public State state(double now) {
        double out = Double.isNaN(pingedAt) ? 0 : now - pingedAt;
        missed |= out > patience();
        down |= out > options.downAfter;
        return down ? State.DOWN : missed || owed > 0 ? State.STALLED : State.UP;
    }

    /** The smoothed round trip; 0 before the first answer. */
    public double roundTrip() {
        return Double.isNaN(roundTrip) ? 0 : roundTrip;
    }

    /** The shortest round trip seen: the way itself, without waiting. */
    public double leastRoundTrip() {
        return Double.isInfinite(least) ? 0 : least;
    }

    /**
     * How long an answer may take on its way here, with its variation; half a round trip would be the mean, and one
     * direction may be slower than the other: all of the round trip is the bound that holds for each.
     */
    public double travel() {
        return Double.isNaN(roundTrip) ? 0 : roundTrip + VARIATIONS * variation;
    }
}
