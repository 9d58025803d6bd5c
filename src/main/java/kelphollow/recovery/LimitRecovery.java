package kelphollow.recovery;

/**
 * What a volume's limit may start with after a restart, so that the rule holds over it: all instances together never
 * send more than limit and burst allow, with the slack on top. No I/O.
 *
 * <p>A level that was recorded at a clean end is exact: nothing was sent after it, so it has filled since; if it was
 * below zero, as the slack allows, it starts there. After a crash it is not: the life before may have spent all that the
 * store held right up to its end, and when that was is not known. What is certain is that by its own count it never went
 * below zero, and that it sent nothing once this life held the store. So the limit starts empty and fills from there.
 * Part of the slack would make the first second better, but is not given out: an instance that crashes every few seconds
 * would spend it anew each time, and the rule counts over all of them.
 */
public final class LimitRecovery {
    private LimitRecovery() {}

    /**
     * What was recorded of a volume at this instance.
     *
     * @param level units in its part of the store
     * @param at when, in Unix milliseconds
     * @param clean whether nothing was sent after it
     */
    public record Saved(double level, double at, boolean clean) {}

    /**
     * The units that may be spent at once; below zero if some must be waited for.
     *
     * @param saved null if nothing was recorded
     * @param part this instance's part of the volume, 0 to 1; the figures of the limit are those of all instances
     * @param perSecond the limit, units a second
     * @param now this life's start; before {@code saved.at} if the clock went back, which counts as no time
     */
    public static double level(Saved saved, double part, double perSecond, double burst, double slack, double now) {
        if (saved == null || !saved.clean()) {
            return 0;
        }
        double filled = saved.level() + Math.max(0, now - saved.at()) / 1000 * perSecond * part;
        return Math.max(-slack * part, Math.min(burst * part, filled));
    }
}
