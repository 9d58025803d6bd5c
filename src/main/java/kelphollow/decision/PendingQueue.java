package kelphollow.decision;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Queued requests of one cell, ordered by finish tag: those that can still meet their latency objective, and
 * separately those that cannot. Confined to the thread that drives {@link Control}.
 */
final class PendingQueue {
    private static final Comparator<PendingRequest> BY_FINISH_TAG = Comparator
        .<PendingRequest>comparingDouble(r -> r.finishTag).thenComparingLong(r -> r.sequence);

    /** Requests that can meet their objective; modified only by this class. */
    final TreeSet<PendingRequest> onTime = new TreeSet<>(BY_FINISH_TAG);
    /** Requests that cannot meet their objective; modified only by this class. */
    final TreeSet<PendingRequest> late = new TreeSet<>(BY_FINISH_TAG);

    int size() {
        return onTime.size() + late.size();
    }

    void add(PendingRequest request) {
        (request.late ? late : onTime).add(request);
        request.queued = true;
    }

    /** Must be called before the request's tags or {@code late} change, as they decide its position. */
    void remove(PendingRequest request) {
        (request.late ? late : onTime).remove(request);
        request.queued = false;
    }
}
