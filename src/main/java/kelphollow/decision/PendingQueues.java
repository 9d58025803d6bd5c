package kelphollow.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import kelphollow.decision.ControlSettings.DeduplicationScope;

/** Queues by the cell that holds the data. Confined to the thread that drives {@link Control}. */
final class PendingQueues {
    /** Pseudo cell of new objects, which any node can store. */
    static final int NEW_OBJECTS = -1;

    private final Map<Integer, PendingQueue> byCell = new LinkedHashMap<>();

    /** The queue of a request, created if it does not exist. */
    PendingQueue of(PendingRequest request) {
        return byCell.computeIfAbsent(cellOf(request), c -> new PendingQueue());
    }

    /**
     * A new object whose idempotency key is recognised only within one cell stays with the cell that may have
     * executed it.
     */
    private static int cellOf(PendingRequest request) {
        int cell = request.arrival.cell();
        boolean sticky = cell < 0 && request.possiblyExecutedNode != null
            && request.requestClass.deduplicationScope() == DeduplicationScope.CELL;
        return sticky ? request.possiblyExecutedNode.cell : Math.max(NEW_OBJECTS, cell);
    }

    /** The queue of a cell, or null if it has none. */
    PendingQueue ofCell(int cell) {
        return byCell.get(cell);
    }

    /** Drops empty queues, so that invented cell numbers in requests do not fill memory. */
    void removeEmpty() {
        byCell.values().removeIf(queue -> queue.size() == 0);
    }

    boolean isEmpty() {
        return byCell.isEmpty();
    }
}
