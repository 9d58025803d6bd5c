package kelphollow.decision;

/**
 * The module's time in milliseconds on the host's clock: that of the newest event. It never goes back.
 * Confined to the thread that drives {@link Control}.
 */
final class DecisionClock {
    private double now;

    DecisionClock(double now) {
        this.now = now;
    }

    /** Takes over an event's time, unless a later one was seen already. */
    void advanceTo(double time) {
        now = Math.max(now, time);
    }

    double now() {
        return now;
    }
}
