package kelphollow.lab;

/**
 * What became of the requests of one load, as counts; a phase lasts to the next load, or to the last request, and its first
 * second is left out.
 */
final class LoadPhase {
    private static final double LEFT_OUT_MS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The same a second; {@code weighted} is what was served within its latency objective by its priority weight. */
    record Rates(double offered, double served, double inTime, double weighted) {}

    private final double from;
    private double to;
    private double offered;
    private double served;
    private double inTime;
    private double weighted;

    /** {@code loadAt} is when the load began, in milliseconds. */
    LoadPhase(double loadAt) {
        this.from = loadAt + LEFT_OUT_MS;
        this.to = from;
    }

    /** Counts a request; false if it was sent in the time that is left out. */
    boolean offer(double at) {
        if (at <= from) {
            return false;
        }
        offered++;
        to = at;
        return true;
    }

    void serve(boolean withinObjective, double weight) {
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
