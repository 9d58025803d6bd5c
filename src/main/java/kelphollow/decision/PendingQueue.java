package kelphollow.decision;

import java.util.Comparator;
import java.util.TreeSet;

/** Requests of one cell that wait here: those that can meet their aim, then those that cannot. */
final class PendingQueue {
    private static final Comparator<Request> BY_FINISH = Comparator
        .<Request>comparingDouble(r -> r.finishTag).thenComparingLong(r -> r.order);
    final TreeSet<Request> onTime = new TreeSet<>(BY_FINISH);
    final TreeSet<Request> late = new TreeSet<>(BY_FINISH);

    int size() { return onTime.size() + late.size(); }

    void add(Request r) {
        (r.late ? late : onTime).add(r);
        r.isHeld = true;
    }

    void remove(Request r) {
        (r.late ? late : onTime).remove(r);
        r.isHeld = false;
    }
}
