package kelphollow.routing;

import java.util.ArrayList;
import java.util.List;
import kelphollow.decision.ControlApi.Arrival;
import kelphollow.decision.ControlApi.Outcome;

/** One request that a front has taken, until its final answer. Only {@link Core} changes it. */
public final class Request {
    final Caller caller;
    final List<Attempt> attempts = new ArrayList<>(1);
    boolean over;
    Outcome last;
    private boolean toldOverdue;
    private final Arrival facts;
    private final Object message;

    Request(Arrival facts, Object message, Caller caller) {
        this.facts = facts;
        this.message = message;
        this.caller = caller;
    }

    /** What the module was told of it. */
    public Arrival facts() {
        return facts;
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
        return last == Outcome.TIMED_OUT || attempts.stream().anyMatch(Attempt::isOut);
    }
}
