package kelphollow.site;

/**
 * What a draining remote site still takes. From its notice on, the local side sends nothing new as soon as it can and at
 * the latest after the grace period; what is in flight goes on until the time that the remote site named, after which it is
 * as if the link had broken. Times are milliseconds. Confined to one event loop.
 */
public final class RemoteDrain {
    private final double gracePeriod;
    private double noticeAt = Double.NaN;
    private double closesAt = Double.POSITIVE_INFINITY;

    /** A site that does not drain; after its notice nothing new is sent later than {@code gracePeriod}. */
    public RemoteDrain(double gracePeriod) {
        this.gracePeriod = gracePeriod;
    }

    /** The remote site drains and will close in so many milliseconds. Of several notices the earliest end holds. */
    public void noticeReceived(double closesIn, double now) {
        noticeAt = Double.isNaN(noticeAt) ? now : noticeAt;
        closesAt = Math.min(closesAt, now + Math.max(0, closesIn));
    }

    /** Whether the remote site drains. */
    public boolean isDraining() {
        return !Double.isNaN(noticeAt);
    }

    /** Whether the first byte of a request may be sent now, also of one that was routed before the notice. */
    public boolean mayStartRequest() {
        return !isDraining();
    }

    /** The last moment at which anything new may be sent; for the check that nothing was. */
    public double lastStartAt() {
        return noticeAt + gracePeriod;
    }

    /** Whether what is in flight is given up now. */
    public boolean isClosed(double now) {
        return now >= closesAt;
    }
}
