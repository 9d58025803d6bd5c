package kelphollow.decision;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Priority queue of the times at which requests must be checked, the earliest first. Entries of requests that
 * were answered in the meantime are not removed: callers of {@link #pollDue} must check that the request is
 * still open. Confined to the thread that drives {@link Control}.
 */
final class DeadlineQueue {
    private record Entry(double at, PendingRequest request) {}

    private final PriorityQueue<Entry> entries = new PriorityQueue<>(
        Comparator.comparingDouble(Entry::at).thenComparingLong(e -> e.request.sequence));

    void add(double at, PendingRequest request) {
        entries.add(new Entry(at, request));
    }

    /** Removes the earliest entry if it is due and returns its request; null if no entry is due. */
    PendingRequest pollDue(double now) {
        Entry first = entries.peek();
        if (first == null || first.at > now) {
            return null;
        }
        return entries.poll().request;
    }

    /** Time of the earliest entry; positive infinity if there is none. */
    double nextAt() {
        Entry first = entries.peek();
        return first == null ? Double.POSITIVE_INFINITY : first.at;
    }
}
