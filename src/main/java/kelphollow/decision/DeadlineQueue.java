package kelphollow.decision;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Times at which a request is to be looked at, the earliest first. An entry stays when its request is
 * answered before; who polls it checks that it is still open. Confined to the thread that drives
 * {@link Control}.
 */
final class DeadlineQueue {
    private record Entry(double at, PendingRequest request) {}

    private final PriorityQueue<Entry> entries = new PriorityQueue<>(
        Comparator.comparingDouble(Entry::at).thenComparingLong(e -> e.request.sequence));

    void add(double at, PendingRequest request) {
        entries.add(new Entry(at, request));
    }

    /** Removes and returns the request of the earliest entry that is due; null when none is. */
    PendingRequest pollDue(double now) {
        Entry first = entries.peek();
        if (first == null || first.at > now) {
            return null;
        }
        return entries.poll().request;
    }

    /** Time of the earliest entry; infinite when there is none. */
    double nextAt() {
        Entry first = entries.peek();
        return first == null ? Double.POSITIVE_INFINITY : first.at;
    }
}
