package kelphollow.lab.soak;

/** The one store of a volume's limit: full at first, refilled at the limit's rate up to its burst. Not thread-safe. */
final class LimitStore {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double rate;
    private final double burst;
    private double units;
    private double refilledAt;

    /** {@code rate} is in units per second. */
    LimitStore(double rate, double burst) {
        this.rate = rate;
        this.burst = burst;
        this.units = burst;
    }

    /** Takes units at a time in milliseconds, not before that of the last call, and returns what is left. */
    double take(double at, double taken) {
        units = Math.min(burst, units + (at - refilledAt) / MILLIS_PER_SECOND * rate) - taken;
        refilledAt = at;
        return units;
    }
}
