package kelphollow.routing;

/**
 * One attempt to send a request to one node. A {@link Backend} carries the attempt and reports its progress and outcome;
 * only {@link AttemptLifecycle} and this class change its state. Confined to the event loop.
 */
public final class Attempt {
    /** The states in the order of their transitions; a response that is not streamed skips {@link #RESPONDING}. */
    private enum State {
        /** The node may still respond. */
        IN_FLIGHT,
        /** The response is being streamed to the client. */
        RESPONDING,
        /** The attempt has its outcome; later reports are ignored. */
        ENDED
    }

    /** Shortest time between two progress notifications to the decision module. */
    private static final double PROGRESS_INTERVAL_MS = 50;

    private final AttemptLifecycle lifecycle;
    private final Request request;
    private final int number;
    private final ResolvedEndpoint target;
    private final double sentAt;
    private final double timeoutAt;
    private final double writeBy;
    private State state = State.IN_FLIGHT;
    private boolean clientUnconfirmed;
    private double checkedAt;
    private Object transportHandle;
    private Ticker.Timeout timeout;
    private double responseStartedAt = Double.NaN;
    private double lastProgressAt;
    private double responseDueSince;
    /** Total time, in milliseconds, for which the event loop had been stalled when the response became due. */
    private double stalledBefore;

    /**
     * Creates an attempt in flight.
     *
     * @param number of the attempt within its request, from 0
     * @param sentAt clock time now
     * @param timeoutAt clock time at which the attempt times out without a response
     * @param writeBy clock time before which the first byte of a retry must be written; 0: no such bound
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

    /** The request that the attempt belongs to. */
    public Request request() {
        return request;
    }

    /** The node that the attempt is sent to. */
    public ResolvedEndpoint target() {
        return target;
    }

    /** The number of the attempt within its request, from 0. */
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

    /** Milliseconds until the timeout; negative once it has passed. */
    public double remaining() {
        return timeoutAt - lifecycle.now();
    }

    /** Attaches an object of the backend to the attempt; the router does not use it. */
    public void attach(Object handle) {
        transportHandle = handle;
    }

    /** The object that the backend attached; null before {@link #attach}. */
    public Object transportHandle() {
        return transportHandle;
    }

    /** Whether the attempt has no outcome yet. */
    public boolean isInFlight() {
        return state != State.ENDED;
    }

    /** Whether the response is being streamed to the client. */
    boolean isResponding() {
        return state == State.RESPONDING;
    }

    /**
     * Whether the first byte may be written now. A backend asks once the connection is established, and writes at once if
     * so. Prevents a write after a drain, a cancellation, a deadline or the end of an idempotency window that came while
     * the connection was being established.
     */
    public boolean maySend() {
        boolean allowed = lifecycle.maySend(this);
        checkedAt = lifecycle.now();
        return allowed;
    }

    /** The first bytes have been handed to the socket, right after {@link #maySend}. */
    public void firstByteWritten() {
        lifecycle.firstByteWritten(this, lifecycle.now() - checkedAt);
    }

    /** The last byte of the request's body has been written: the node's response is due from now on. */
    public void requestSent() {
        responseDueSince = lifecycle.now();
        stalledBefore = lifecycle.stalledFor();
    }

    /** The response has begun to be streamed to the client: the attempt has no timeout from now on. */
    public void responseStarted() {
        if (advance(State.RESPONDING)) {
            responseStartedAt = responseSeenAt();
            lifecycle.responseStarted(this);
        }
    }

    /** The node has received or sent part of a body. The decision module is notified at a bounded rate. */
    public void progressed() {
        double now = lifecycle.now();
        if (isInFlight() && now - lastProgressAt > PROGRESS_INTERVAL_MS) {
            lastProgressAt = now;
            lifecycle.progressed(this);
        }
    }

    /** Ends the attempt with its outcome. Later calls are ignored, since a cancelled connection may still report its end. */
    public void ended(AttemptResult result) {
        if (isInFlight()) {
            lifecycle.ended(this, result);
        }
    }

    /** The attempt was not sent, since its client may have disconnected. */
    void setClientUnconfirmed() {
        clientUnconfirmed = true;
    }

    boolean isClientUnconfirmed() {
        return clientUnconfirmed;
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

    /** Ends the attempt; returns true the first time. */
    boolean finish() {
        boolean first = advance(State.ENDED);
        cancelTimeout();
        return first;
    }

    /**
     * The latency of the node in milliseconds: from when the response was due until it came, or until it began if it was
     * streamed. Excludes the time that a client takes to send or read, and stalls of this scheduler, so that neither makes
     * the node look slow.
     */
    double latency() {
        return (Double.isNaN(responseStartedAt) ? responseSeenAt() : responseStartedAt) - responseDueSince;
    }

    /** The clock time now, minus the time for which this scheduler was stalled since the response was due. */
    private double responseSeenAt() {
        return Math.max(responseDueSince, lifecycle.now() - (lifecycle.stalledFor() - stalledBefore));
    }

    /** Changes to a later state, never back. Returns whether the state has changed. */
    private boolean advance(State next) {
        if (next.compareTo(state) <= 0) {
            return false;
        }
        state = next;
        return true;
    }

    /** Names the attempt in the log: request and attempt by the router's numbers, the client's id, and the node. */
    @Override public String toString() {
        String suffix = isInFlight() ? " (in flight)" : "";
        return request + " attempt " + number + " at " + target.endpoint().node() + suffix;
    }
}
