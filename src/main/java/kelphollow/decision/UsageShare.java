package kelphollow.decision;

/**
 * What this host knows of a volume's use here and through other hosts, in units that fade over {@link
 * #MEMORY}; from it follows the part of the volume's arrival curve that this host may fill. Times are
 * milliseconds.
 */
final class UsageShare {
    /** News of use is averaged over this time, a few periods of such news. */
    static final double MEMORY = 5_000;

    private double own;
    private double elsewhere;
    private double fadedAt;

    UsageShare(double now) {
        fadedAt = now;
    }

    /**
     * A node has answered: it has served so many units for the volume through others since it last said so,
     * and use over all hosts is so many percent of {@code rate} units a second, if it tells (negative: it
     * does not).
     */
    void learn(double now, double servedElsewhere, double usePercent, double rate) {
        double keep = Math.exp(-(now - fadedAt) / MEMORY);
        own *= keep;
        elsewhere = elsewhere * keep + servedElsewhere;
        fadedAt = now;
        if (usePercent >= 0) {
            double everywhere = usePercent / 100 * rate * MEMORY / 1000;
            elsewhere = Math.max(0, everywhere - own);
        }
    }

    /** This host has served so many units. */
    void served(double units) {
        own += units;
    }

    /**
     * This host's part: even before there is news, then as the use here stands to all use, but at least half
     * of even.
     */
    double part(double even, double unitMean) {
        double total = own + elsewhere;
        return total < unitMean || elsewhere <= 0 ? even : Math.max(even / 2, own / total);
    }
}
