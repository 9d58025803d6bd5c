package kelphollow.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import kelphollow.decision.ControlSettings.DeduplicationScope;

/** The queues by the cell that holds the data. Confined to the thread that drives {@link Control}. */
final class PendingQueues {
    /** Cell of new objects, which any node may take. */
    static final int NEW_OBJECTS = -1;

    private final Map<Integer, PendingQueue> byCell = new LinkedHashMap<>();

    /** The queue that a request belongs to. */
    PendingQueue of(PendingRequest request) {
        return byCell.computeIfAbsent(cellOf(request), c -> new PendingQueue());
    }

    /**
     * A new object whose key only the nodes of one cell recognise stays with the cell that may have executed
     * it.
     */
    private static int cellOf(PendingRequest request) {
        int cell = request.arrival.cell();
        boolean sticky = cell < 0 && request.possiblyExecutedNode != null
            && request.requestClass.deduplicationScope() == DeduplicationScope.CELL;
        return sticky ? request.possiblyExecutedNode.cell : Math.max(NEW_OBJECTS, cell);
    }

    /** The queue of a cell; null while nothing waits for it. */
    PendingQueue ofCell(int cell) {
        return byCell.get(cell);
    }

    /** Guards memory against cells that clients make up. */
    void removeEmpty() {
        byCell.values().removeIf(queue -> queue.size() == 0);
    }

    boolean isEmpty() {
        return byCell.isEmpty();
    }
}
