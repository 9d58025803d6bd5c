package kelphollow.dissemination;

/**
 * Budget and rates of dissemination; times are in milliseconds.
 *
 * @param bytesPerSecond bytes of all kinds that an instance sends per second before deferrable packets wait
 * @param comparisonInterval mean time between comparisons of views while they agree
 * @param repeatedComparisonInterval mean time to the next comparison after one that found a difference
 * @param urgentFanout members that receive one round of urgent changes
 * @param routineFanout members that receive one round of other changes
 * @param urgentTransmissions how often an urgent change is transmitted, as a multiple of ln(size)
 * @param routineTransmissions the same for other changes
 */
public record DisseminationSettings(double bytesPerSecond, double comparisonInterval, double repeatedComparisonInterval,
                                    int urgentFanout, int routineFanout, double urgentTransmissions,
                                    double routineTransmissions) {
    /** The values that an instance uses unless its operator configures others. */
    public static final DisseminationSettings DEFAULTS = new DisseminationSettings(12_000, 1_000, 150, 3, 2, 1.5, 1);

    /** These settings with another budget, in bytes per second. */
    public DisseminationSettings withBudget(double bytes) {
        return new DisseminationSettings(bytes, comparisonInterval, repeatedComparisonInterval, urgentFanout, routineFanout,
            urgentTransmissions, routineTransmissions);
    }
}
