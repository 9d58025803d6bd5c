package kelphollow.decision;

/**
 * Monotonic time of the decision module: the latest event time, in milliseconds on the caller's clock.
 * Confined to the thread that drives {@link Control}.
 */
final class DecisionClock {
    private double now;

    DecisionClock(double now) {
        this.now = now;
    }

    /** Advances to an event's time; ignores times before the current one. */
    void advanceTo(double time) {
        now = Math.max(now, time);
    }

    double now() {
        return now;
    }
}
