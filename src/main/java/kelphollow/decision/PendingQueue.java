package kelphollow.decision;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Requests of one cell that wait here, in the order of their finish tags: those that can meet their latency
 * objective, then those that cannot. Confined to the thread that drives {@link Control}.
 */
final class PendingQueue {
    private static final Comparator<PendingRequest> BY_FINISH_TAG = Comparator
        .<PendingRequest>comparingDouble(r -> r.finishTag).thenComparingLong(r -> r.sequence);

    /** Read by others, changed here only. */
    final TreeSet<PendingRequest> onTime = new TreeSet<>(BY_FINISH_TAG);
    /** Read by others, changed here only. */
    final TreeSet<PendingRequest> late = new TreeSet<>(BY_FINISH_TAG);

    int size() {
        return onTime.size() + late.size();
    }

    void add(PendingRequest request) {
        (request.late ? late : onTime).add(request);
        request.queued = true;
    }

    /** To be called before its tags or its lateness change. */
    void remove(PendingRequest request) {
        (request.late ? late : onTime).remove(request);
        request.queued = false;
    }
}
