package kelphollow.decision;

/**
 * What this instance knows of a volume's usage here and through other instances, in units that decay over
 * {@link #DECAY_MS}. From it follows the share of the volume's arrival curve that this instance may fill.
 * Times are milliseconds. Constant memory; confined to the thread that drives {@link Control}.
 */
final class UsageShare {
    /** Time constant of the decay in milliseconds: a few intervals between reports of usage. */
    static final double DECAY_MS = 5_000;
    private static final double MS_PER_SECOND = 1000;

    private double own;
    private double elsewhere;
    private double decayedAt;

    UsageShare(double now) {
        decayedAt = now;
    }

    /**
     * Takes a node's report.
     *
     * @param now the time
     * @param unitsElsewhere units that it has served for the volume through other instances since its last
     *     report
     * @param usagePercent usage over all instances in percent of {@code rate}, negative when unknown
     * @param rate units a second
     */
    void reported(double now, double unitsElsewhere, double usagePercent, double rate) {
        double kept = Math.exp(-(now - decayedAt) / DECAY_MS);
        own *= kept;
        elsewhere = elsewhere * kept + unitsElsewhere;
        decayedAt = now;
        if (usagePercent >= 0) {
            double everywhere = usagePercent / 100 * rate * DECAY_MS / MS_PER_SECOND;
            elsewhere = Math.max(0, everywhere - own);
        }
    }

    /** This instance has had so many units served. */
    void served(double units) {
        own += units;
    }

    /**
     * This instance's share: {@code even} before there are reports, then its part of all usage, but at least
     * half of {@code even}.
     */
    double share(double even, double meanUnits) {
        double total = own + elsewhere;
        return total < meanUnits || elsewhere <= 0 ? even : Math.max(even / 2, own / total);
    }
}
