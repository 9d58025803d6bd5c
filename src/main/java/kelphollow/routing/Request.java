package kelphollow.routing;

import java.util.ArrayList;
import java.util.List;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.RequestArrived;

/** One request that a front has taken, until its final answer. Only {@link RequestRouter} changes it. */
public final class Request {
    final ResponseCallback caller;
    final List<Attempt> attempts = new ArrayList<>(1);
    boolean over;
    AttemptOutcome last;
    private boolean toldOverdue;
    private final RequestArrived arrival;
    private final Object message;

    Request(RequestArrived arrival, Object message, ResponseCallback caller) {
        this.arrival = arrival;
        this.message = message;
        this.caller = caller;
    }

    /** What the module was told of it. */
    public RequestArrived arrival() {
        return arrival;
    }

    /** What the front wants sent; the backend of the same protocol knows its form. */
    public Object message() {
        return message;
    }

    /** Whether it is told for the first time that this request is open past its time. Bodies that flow have no such time. */
    boolean becomesOverdue() {
        if (toldOverdue || attempts.stream().anyMatch(a -> a.isOut() && a.hasBegun())) {
            return false;
        }
        toldOverdue = true;
        return true;
    }

    boolean timedOut() {
        return last == AttemptOutcome.TIMED_OUT || attempts.stream().anyMatch(Attempt::isOut);
    }
}
