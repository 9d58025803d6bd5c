package kelphollow.routing;

/** One sending of a request to one node. Backends hold it; only {@link RequestRouter} changes it. */
public final class Attempt {
    // How often the module hears that a body moves on, in milliseconds.
    private static final double HEARD_EVERY = 50;

    /** Free for the backend that carries it. */
    public Object carrier;
    final int number;
    Ticker.Timeout timeout;
    private final RequestRouter router;
    private final Request request;
    private final ResolvedEndpoint target;
    private final double sentAt, giveUpAt, writeBy;
    private boolean out = true;
    private double beganAt = -1;
    private double heardAt;
    private double owedSince;
    private double stalledBefore;

    Attempt(RequestRouter router, Request request, int number, ResolvedEndpoint target, double sentAt, double giveUpAt,
        double writeBy) {
        this.router = router;
        this.request = request;
        this.number = number;
        this.target = target;
        this.sentAt = sentAt;
        this.owedSince = sentAt;
        this.stalledBefore = router.stalledFor();
        this.giveUpAt = giveUpAt;
        this.writeBy = writeBy;
    }

    public Request request() {
        return request;
    }

    public ResolvedEndpoint target() {
        return target;
    }

    /** How long it will be waited for from now on, in milliseconds. */
    public double remaining() {
        return giveUpAt - router.now();
    }

    public boolean isOut() {
        return out;
    }

    /**
     * To be asked when a connection is up and before the first byte is written, which must follow at once. Guards against
     * a drain, a cancellation, a deadline or the end of the time in which repeats are dropped that came while the connection
     * was being dialled.
     */
    public boolean maySend() {
        return router.maySend(this);
    }

    /** Names it in the log: request and attempt by the core's numbers, and the node. */
    @Override public String toString() {
        String state = out ? " (out)" : "";
        return "request " + request.arrival().id() + " attempt " + number + " at " + target.endpoint().node() + state;
    }

    /** Whether its answer has begun to be passed on. */
    boolean hasBegun() {
        return beganAt >= 0;
    }

    /** Until when it is waited for at most. */
    double giveUpAt() {
        return giveUpAt;
    }

    /** When a repeat must have begun to be written; 0: there is no such time. */
    double writeBy() {
        return writeBy;
    }

    double sentAt() {
        return sentAt;
    }

    /** The answer has begun to be passed on to the client: from here on no deadline runs. */
    public void began() {
        if (out && beganAt < 0) {
            beganAt = answeredAt();
            router.began(this);
        }
    }

    /** The node has taken or given part of a body; the module hears of it now and then. */
    public void progressed() {
        double now = router.now();
        if (out && now - heardAt > HEARD_EVERY) {
            heardAt = now;
            router.progressed(this);
        }
    }

    /** The last byte of the request's body has been written: only from here on does the node owe an answer. */
    public void sentWhole() {
        owedSince = router.now();
        stalledBefore = router.stalledFor();
    }

    /** Ends the attempt; later calls are ignored, since an abandoned connection may still report its end. */
    public void ended(AttemptResult result) {
        if (out) {
            router.ended(this, result);
        }
    }

    /** Takes the attempt out of play; true the first time. */
    boolean finish() {
        boolean first = out;
        out = false;
        if (timeout != null) {
            timeout.cancel();
        }
        return first;
    }

    /**
     * Time to the answer, or to its beginning where it was streamed, from when all had been sent. Guards against
     * taking a client that sends or reads slowly, or this scheduler itself, for a slow node.
     */
    double took() {
        return (beganAt < 0 ? answeredAt() : beganAt) - owedSince;
    }

    /** Now, less the time since the sending in which this scheduler was stalled. */
    private double answeredAt() {
        return Math.max(owedSince, router.now() - (router.stalledFor() - stalledBefore));
    }
}
