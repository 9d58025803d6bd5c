package kelphollow.routing;

import java.util.ArrayList;
import java.util.List;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.RequestArrived;

/**
 * One request that a front has submitted, until its final response. Only {@link RequestLifecycle} and
 * {@link AttemptLifecycle} change it. Confined to the event loop.
 */
public final class Request {
    /** The states in the order of their transitions; any but the first may be skipped. */
    private enum State {
        /** The request has no final response yet. */
        OPEN,
        /** The request has no final response yet, and was logged as open past its deadline. */
        OVERDUE,
        /** The request has had its final response, or its client has disconnected. */
        FINISHED
    }

    private final RequestArrived arrival;
    private final String clientId;
    private final Object message;
    private final ResponseCallback callback;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private State state = State.OPEN;
    private AttemptOutcome lastOutcome;

    /** {@code clientId}: the id by which the client knows the request, for the log; may be empty. */
    Request(RequestArrived arrival, String clientId, Object message, ResponseCallback callback) {
        this.arrival = arrival;
        this.clientId = clientId;
        this.message = message;
        this.callback = callback;
    }

    /** The arrival that the decision module was notified of. */
    public RequestArrived arrival() {
        return arrival;
    }

    /** Names the request in the log: by the router's number and the client's id. */
    @Override public String toString() {
        return "request " + arrival.id() + (clientId.isEmpty() ? "" : " (" + clientId + ")");
    }

    /** What the front submitted, in the form that the backend of the same protocol sends. */
    public Object message() {
        return message;
    }

    ResponseCallback callback() {
        return callback;
    }

    void add(Attempt attempt) {
        attempts.add(attempt);
    }

    int attemptCount() {
        return attempts.size();
    }

    /** All attempts in the order in which they were started, for the log. */
    List<Attempt> attempts() {
        return attempts;
    }

    void attemptEnded(AttemptOutcome outcome) {
        lastOutcome = outcome;
    }

    boolean isFinished() {
        return state == State.FINISHED;
    }

    /** Closes the request: it has its final response, or needs none any more. */
    void finish() {
        advance(State.FINISHED);
    }

    /**
     * Marks the request as open past its deadline. Returns true the first time, and never while a response is being
     * streamed, which has no deadline.
     */
    boolean becomesOverdue() {
        return attempts.stream().noneMatch(Attempt::isResponding) && advance(State.OVERDUE);
    }

    /** Whether the last attempt timed out, or one is still in flight. */
    boolean timedOut() {
        return lastOutcome == AttemptOutcome.TIMED_OUT || attempts.stream().anyMatch(Attempt::isInFlight);
    }

    /** Changes to a later state, never back. Returns whether the state has changed. */
    private boolean advance(State next) {
        if (next.compareTo(state) <= 0) {
            return false;
        }
        state = next;
        return true;
    }
}
