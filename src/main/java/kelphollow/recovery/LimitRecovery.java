package kelphollow.recovery;

/**
 * Computes the initial tokens of a volume's rate limit after a restart, so that the limit holds across restarts: all
 * instances together never send more than rate and burst allow, plus the slack. Stateless.
 *
 * <p>Tokens recorded at a clean shutdown are exact: nothing was sent after it, so the bucket has filled since. If they were
 * negative, as the slack allows, the bucket starts from there. After a crash the recorded tokens are not exact: the earlier
 * process may have spent all that the bucket held until it ended, at an unknown time. It is certain only that its own count
 * never went below zero, and that it sent nothing once this process had opened the store. So the bucket starts empty and
 * fills from there. Granting part of the slack would serve more in the first second, but an instance that crashes every few
 * seconds would spend it again each time, and the limit counts over all processes.
 */
public final class LimitRecovery {
    private static final double MILLIS_PER_SECOND = 1000;

    private LimitRecovery() {}

    /**
     * The recorded state of a volume's limit at this instance.
     *
     * @param tokens units in this instance's share of the bucket
     * @param at time of the record, in Unix milliseconds
     * @param clean whether nothing was sent after the record
     */
    public record Saved(double tokens, double at, boolean clean) {}

    /**
     * Returns the units that may be sent at once; negative if sending must wait for the bucket to fill.
     *
     * @param saved null if nothing was recorded
     * @param share this instance's share of the volume, 0 to 1; the figures of the limit are those of all instances
     * @param rate the limit, in units per second
     * @param burst units that a full bucket holds
     * @param slack units by which the limit may be exceeded
     * @param now start of this process; if it is before {@code saved.at} because the clock went back, no time has passed
     */
    public static double initialTokens(Saved saved, double share, double rate, double burst, double slack, double now) {
        if (saved == null || !saved.clean()) {
            return 0;
        }
        double filled = saved.tokens() + Math.max(0, now - saved.at()) / MILLIS_PER_SECOND * rate * share;
        return Math.max(-slack * share, Math.min(burst * share, filled));
    }
}
