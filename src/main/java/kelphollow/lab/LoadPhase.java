package kelphollow.lab;

/**
 * Counts the outcomes of the requests of one load setting. A phase lasts until the next load setting or the last request;
 * its first second is not counted.
 */
final class LoadPhase {
    private static final double UNCOUNTED_MS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Requests per second; {@code weighted} is the sum of the priority weights of those served within their objective. */
    record Rates(double offered, double served, double inTime, double weighted) {}

    private final double from;
    private double to;
    private double offered;
    private double served;
    private double inTime;
    private double weighted;

    /** {@code loadAt} is when the load was set, in milliseconds since the run began. */
    LoadPhase(double loadAt) {
        this.from = loadAt + UNCOUNTED_MS;
        this.to = from;
    }

    /** Counts a request; false if it was sent in the uncounted first second. */
    boolean countOffered(double at) {
        if (at <= from) {
            return false;
        }
        offered++;
        to = at;
        return true;
    }

    void countServed(boolean withinObjective, double weight) {
        served++;
        if (withinObjective) {
            inTime++;
            weighted += weight;
        }
    }

    boolean isEmpty() {
        return to <= from;
    }

    Rates rates() {
        return new Rates(rate(offered), rate(served), rate(inTime), rate(weighted));
    }

    private double rate(double sum) {
        return sum / (to - from) * MILLIS_PER_SECOND;
    }
}
