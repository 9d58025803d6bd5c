package kelphollow.site;

/**
 * What a far site that says it drains still takes. From the moment it is told, the near side sends nothing new as soon
 * as it can and at the latest after the grace; what is out goes on until the time that the far side named, after which
 * it is as if the link had broken. One event loop.
 */
public final class RemoteDrain {
    private final double grace;
    private double toldAt = Double.NaN, closesAt = Double.POSITIVE_INFINITY;

    /** {@code grace} is the rule's, in milliseconds: nothing new later than that after it was told. */
    public RemoteDrain(double grace) {
        this.grace = grace;
    }

    /** The far side drains and will close in so many milliseconds. Said again, the sooner end holds. */
    public void told(double closesIn, double now) {
        toldAt = Double.isNaN(toldAt) ? now : toldAt;
        closesAt = Math.min(closesAt, now + Math.max(0, closesIn));
    }

    public boolean isTold() {
        return !Double.isNaN(toldAt);
    }

    /** Whether a first byte may go out now, also for what was chosen before the notice came. */
    public boolean mayBegin() {
        return !isTold();
    }

    /** The last moment at which anything new may be on its way by the rule; for the check that nothing was. */
    public double nothingNewAfter() {
        return toldAt + grace;
    }

    /** Whether what is out is given up now. */
    public boolean isOver(double now) {
        return now >= closesAt;
    }
}
