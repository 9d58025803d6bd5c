package kelphollow.routing;

/**
 * One sending of a request to one node. A {@link Backend} carries it and reports what becomes of it; only
 * {@link AttemptLifecycle} and this class change its state. Confined to the event loop.
 */
public final class Attempt {
    /** The states in their only order; {@link #RESPONDING} is skipped by an answer that is not streamed. */
    private enum State {
        /** The node may still answer. */
        IN_FLIGHT,
        /** The answer is being streamed to the client. */
        RESPONDING,
        /** It has its outcome; whatever is reported later is ignored. */
        ENDED
    }

    /** Shortest time between two notices of progress to the decision module, in milliseconds. */
    private static final double PROGRESS_INTERVAL = 50;

    private final AttemptLifecycle lifecycle;
    private final Request request;
    private final int number;
    private final ResolvedEndpoint target;
    private final double sentAt;
    private final double timeoutAt;
    private final double writeBy;
    private State state = State.IN_FLIGHT;
    private Object transportHandle;
    private Ticker.Timeout timeout;
    private double responseStartedAt = Double.NaN;
    private double lastProgressAt;
    private double responseDueSince;
    /** How long the event loop had been stalled in all when the response became due. */
    private double stalledBefore;

    /**
     * @param number of the attempt within its request, from 0
     * @param sentAt clock time now
     * @param timeoutAt clock time up to which an answer is waited for
     * @param writeBy clock time before which a retry must begin to be written; 0: no such bound
     */
    Attempt(AttemptLifecycle lifecycle, Request request, int number, ResolvedEndpoint target, double sentAt,
        double timeoutAt, double writeBy) {
        this.lifecycle = lifecycle;
        this.request = request;
        this.number = number;
        this.target = target;
        this.sentAt = sentAt;
        this.timeoutAt = timeoutAt;
        this.writeBy = writeBy;
        this.responseDueSince = sentAt;
        this.stalledBefore = lifecycle.stalledFor();
    }

    /** The request that it belongs to. */
    public Request request() {
        return request;
    }

    /** The node that it goes to. */
    public ResolvedEndpoint target() {
        return target;
    }

    /** Number of the attempt within its request, from 0. */
    int number() {
        return number;
    }

    double sentAt() {
        return sentAt;
    }

    double timeoutAt() {
        return timeoutAt;
    }

    double writeBy() {
        return writeBy;
    }

    /** How long an answer is waited for from now on, in milliseconds; below 0 past the timeout. */
    public double remaining() {
        return timeoutAt - lifecycle.now();
    }

    /** Remembers what the backend carries the attempt by; the router makes no use of it. */
    public void attach(Object handle) {
        transportHandle = handle;
    }

    /** What the backend carries the attempt by; null before {@link #attach}. */
    public Object transportHandle() {
        return transportHandle;
    }

    /** Whether it has no outcome yet. */
    public boolean isInFlight() {
        return state != State.ENDED;
    }

    /** Whether its answer is being streamed to the client. */
    boolean isResponding() {
        return state == State.RESPONDING;
    }

    /**
     * Whether the first byte may be written now. A backend asks once the connection is up, and writes at once if so.
     * Guards against a drain, a cancellation, a deadline or the end of an idempotency window that came while the
     * connection was being established.
     */
    public boolean maySend() {
        return lifecycle.maySend(this);
    }

    /** The last byte of the request's body has been written: from here on the node owes a response. */
    public void requestSent() {
        responseDueSince = lifecycle.now();
        stalledBefore = lifecycle.stalledFor();
    }

    /** The response has begun to be streamed to the client: it has no deadline from here on. */
    public void responseStarted() {
        if (advance(State.RESPONDING)) {
            responseStartedAt = responseSeenAt();
            lifecycle.responseStarted(this);
        }
    }

    /** The node has taken or given part of a body. The decision module is notified at a bounded rate. */
    public void progressed() {
        double now = lifecycle.now();
        if (isInFlight() && now - lastProgressAt > PROGRESS_INTERVAL) {
            lastProgressAt = now;
            lifecycle.progressed(this);
        }
    }

    /** The attempt has its outcome. Later calls are ignored, since a cancelled connection may still report its end. */
    public void ended(AttemptResult result) {
        if (isInFlight()) {
            lifecycle.ended(this, result);
        }
    }

    /** Sets the timer that ends the attempt at its timeout. */
    void setTimeout(Ticker.Timeout timer) {
        timeout = timer;
    }

    void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
        }
    }

    /** Ends the attempt; true the first time. */
    boolean finish() {
        boolean first = advance(State.ENDED);
        cancelTimeout();
        return first;
    }

    /**
     * Latency of the node in milliseconds: from when the response was due until it came, or began where it was streamed.
     * Guards against taking a client that sends or reads slowly, or this scheduler itself, for a slow node.
     */
    double latency() {
        return (Double.isNaN(responseStartedAt) ? responseSeenAt() : responseStartedAt) - responseDueSince;
    }

    /** Clock time now, less the time since the response was due in which this scheduler was stalled. */
    private double responseSeenAt() {
        return Math.max(responseDueSince, lifecycle.now() - (lifecycle.stalledFor() - stalledBefore));
    }

    /** The one transition: to a later state only. Returns whether the state has changed. */
    private boolean advance(State next) {
        if (next.compareTo(state) <= 0) {
            return false;
        }
        state = next;
        return true;
    }

    /** Names it in the log: request and attempt by the router's numbers, and the node. */
    @Override public String toString() {
        String suffix = isInFlight() ? " (out)" : "";
        return "request " + request.arrival().id() + " attempt " + number + " at " + target.endpoint().node() + suffix;
    }
}
