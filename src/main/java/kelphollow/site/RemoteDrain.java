package kelphollow.site;

/**
 * Drain of a remote site as the local side sees it. After the drain notice the local side stops sending new requests as soon
 * as possible, at the latest after the grace period. Requests in flight continue until the close time that the remote site
 * announced; after it the link is treated as broken. Times are in milliseconds. Confined to one event loop.
 */
public final class RemoteDrain {
    private final double gracePeriod;
    private double noticeAt = Double.NaN;
    private double closesAt = Double.POSITIVE_INFINITY;

    /** Creates the state of a site that does not drain; after a notice new requests stop within {@code gracePeriod}. */
    public RemoteDrain(double gracePeriod) {
        this.gracePeriod = gracePeriod;
    }

    /** Handles a notice that the remote site drains and closes in {@code closesIn} ms. The earliest close time applies. */
    public void noticeReceived(double closesIn, double now) {
        noticeAt = Double.isNaN(noticeAt) ? now : noticeAt;
        closesAt = Math.min(closesAt, now + Math.max(0, closesIn));
    }

    /** Returns whether the remote site drains. */
    public boolean isDraining() {
        return !Double.isNaN(noticeAt);
    }

    /** Returns whether the first byte of a request may be sent now, including requests routed before the notice. */
    public boolean mayStartRequest() {
        return !isDraining();
    }

    /** Returns the latest time at which a new request may be sent, to check that none is sent later. */
    public double lastStartAt() {
        return noticeAt + gracePeriod;
    }

    /** Returns whether the close time has passed, so that requests in flight are abandoned. */
    public boolean isClosed(double now) {
        return now >= closesAt;
    }
}
