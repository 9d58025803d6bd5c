package kelphollow.recovery;

/**
 * What a volume's rate limit may start with after a restart, so that its rule holds over it: all instances together never
 * send more than limit and burst allow, with the slack on top. Stateless.
 *
 * <p>Tokens that were recorded at a clean shutdown are exact: nothing was sent after it, so the bucket has filled
 * since; if they were below zero, as the slack allows, it starts there. After a crash they are not: the earlier
 * process may have spent all that the bucket held up to its end, and when that was is unknown. What is certain is
 * that by its own count it never went below zero, and that it sent nothing once this process had opened the store. So
 * the bucket starts empty and fills from there. Part of the slack would make the first second better, but is not
 * given out: an instance that crashes every few seconds would spend it anew each time, and the rule counts over all
 * processes.
 */
public final class LimitRecovery {
    private static final double MILLIS_PER_SECOND = 1000;

    private LimitRecovery() {}

    /**
     * What was recorded of a volume at this instance.
     *
     * @param tokens units in its share of the bucket
     * @param at when, in Unix milliseconds
     * @param clean whether nothing was sent after it
     */
    public record Saved(double tokens, double at, boolean clean) {}

    /**
     * The units that may be sent at once; below zero if some must be waited for.
     *
     * @param saved null if nothing was recorded
     * @param share this instance's share of the volume, 0 to 1; the figures of the limit are those of all instances
     * @param rate the limit, in units a second
     * @param burst units that a full bucket holds
     * @param slack units by which the limit may be overrun
     * @param now this process's start; before {@code saved.at} if the clock went back, which counts as no time
     */
    public static double initialTokens(Saved saved, double share, double rate, double burst, double slack, double now) {
        if (saved == null || !saved.clean()) {
            return 0;
        }
        double filled = saved.tokens() + Math.max(0, now - saved.at()) / MILLIS_PER_SECOND * rate * share;
        return Math.max(-slack * share, Math.min(burst * share, filled));
    }
}
