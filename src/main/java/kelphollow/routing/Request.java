package kelphollow.routing;

import java.util.ArrayList;
import java.util.List;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.RequestArrived;

/**
 * One request that a front has submitted, until its final answer. Only {@link RequestLifecycle} and
 * {@link AttemptLifecycle} change it. Confined to the event loop.
 */
public final class Request {
    /** The states in their only order; any may be skipped but the first. */
    private enum State {
        /** It has no final answer yet. */
        OPEN,
        /** The same, and it was logged as open past its deadline. */
        OVERDUE,
        /** It has had its final answer, or its client has disconnected. */
        FINISHED
    }

    private final RequestArrived arrival;
    private final Object message;
    private final ResponseCallback callback;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private State state = State.OPEN;
    private AttemptOutcome lastOutcome;

    Request(RequestArrived arrival, Object message, ResponseCallback callback) {
        this.arrival = arrival;
        this.message = message;
        this.callback = callback;
    }

    /** What the decision module was notified of. */
    public RequestArrived arrival() {
        return arrival;
    }

    /** What the front wants sent; the backend of the same protocol knows its form. */
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

    /** All attempts in the order of their sending, for the log. */
    List<Attempt> attempts() {
        return attempts;
    }

    void attemptEnded(AttemptOutcome outcome) {
        lastOutcome = outcome;
    }

    boolean isFinished() {
        return state == State.FINISHED;
    }

    /** It has its final answer, or needs none any more. */
    void finish() {
        advance(State.FINISHED);
    }

    /**
     * Marks the request as open past its deadline. True the first time, and never while an answer is being streamed,
     * which has no deadline.
     */
    boolean becomesOverdue() {
        return attempts.stream().noneMatch(Attempt::isResponding) && advance(State.OVERDUE);
    }

    /** Whether its last attempt has timed out, or one is still in flight. */
    boolean timedOut() {
        return lastOutcome == AttemptOutcome.TIMED_OUT || attempts.stream().anyMatch(Attempt::isInFlight);
    }

    /** The one transition: to a later state only. Returns whether the state has changed. */
    private boolean advance(State next) {
        if (next.compareTo(state) <= 0) {
            return false;
        }
        state = next;
        return true;
    }
}
