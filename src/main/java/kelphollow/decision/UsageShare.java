package kelphollow.decision;

/**
 * Usage of a volume through this instance and through others, in units that decay exponentially with the time
 * constant {@link #DECAY_MS}. It determines this instance's share of the volume's arrival curve. Times are
 * milliseconds. Constant memory; confined to the thread that drives {@link Control}.
 */
final class UsageShare {
    /** Time constant of the decay in milliseconds, a few times the interval between usage reports. */
    static final double DECAY_MS = 5_000;
    private static final double MS_PER_SECOND = 1000;

    private double own;
    private double elsewhere;
    private double decayedAt;

    UsageShare(double now) {
        decayedAt = now;
    }

    /**
     * Applies a node's usage report.
     *
     * @param now current time
     * @param unitsElsewhere units that the node has served for the volume through other instances since its
     *     last report
     * @param usagePercent usage over all instances in percent of {@code rate}, negative if unknown
     * @param rate rate of the volume's plan, units per second
     */
    void reported(double now, double unitsElsewhere, double usagePercent, double rate) {
        double kept = StrictMath.exp(-(now - decayedAt) / DECAY_MS);
        own *= kept;
        elsewhere = elsewhere * kept + unitsElsewhere;
        decayedAt = now;
        if (usagePercent >= 0) {
            double everywhere = usagePercent / 100 * rate * DECAY_MS / MS_PER_SECOND;
            elsewhere = Math.max(0, everywhere - own);
        }
    }

    /** Records units served through this instance. */
    void served(double units) {
        own += units;
    }

    /**
     * This instance's share: {@code even} until usage is reported, then its part of the total usage, but at
     * least half of {@code even}.
     */
    double share(double even, double meanUnits) {
        double total = own + elsewhere;
        return total < meanUnits || elsewhere <= 0 ? even : Math.max(even / 2, own / total);
    }
}
