package kelphollow.store;

import java.util.List;

/**
 * Merges one key range of all hints into index leaves (a k-way merge). A binary heap orders the cursors of the hints by
 * ascending key, then descending sequence. Filled by one thread, immutable afterwards.
 */
final class HintRange {
    private final List<SegmentHint> hints;
    /** Next position in each hint, and the end of the range in it. */
    private final int[] next;
    private final int[] end;
    /** The eight key bytes at each cursor after the common prefix of all keys in the range. */
    private final long[] prefixes;
    private final int[] heap;
    private final long[] liveBytes;
    private final IndexLeafBuilder leafBuilder = new IndexLeafBuilder();
    private int heapSize;
    private int commonPrefix;

    private HintRange(List<SegmentHint> hints, int[] from, int[] end) {
        this.hints = hints;
        this.next = from.clone();
        this.end = end;
        this.prefixes = new long[from.length];
        this.heap = new int[from.length];
        this.liveBytes = new long[from.length];
    }

    /** Merges the entries from {@code from} (inclusive) to {@code end} (exclusive) of each hint. */
    static HintRange merge(List<SegmentHint> hints, int[] from, int[] end) {
        HintRange range = new HintRange(hints, from, end);
        range.commonPrefix = range.commonPrefix();
        range.buildHeap();
        range.mergeHeap();
        return range;
    }

    /** The leaves of the merged keys. */
    IndexLeafBuilder leafBuilder() {
        return leafBuilder;
    }

    /** Bytes of live operations in a hint's segment. */
    long liveBytes(int hint) {
        return liveBytes[hint];
    }

    /** Length of the common prefix of all keys, which is that of the least and the greatest key. */
    private int commonPrefix() {
        int first = -1;
        int last = -1;
        for (int i = 0; i < next.length; i++) {
            if (next[i] < end[i]) {
                SegmentHint hint = hints.get(i);
                if (first < 0 || hint.compare(next[i], hints.get(first), next[first]) < 0) {
                    first = i;
                }
                if (last < 0 || hint.compare(end[i] - 1, hints.get(last), end[last] - 1) > 0) {
                    last = i;
                }
            }
        }
        return first < 0 ? 0 : hints.get(first).commonPrefix(next[first], hints.get(last), end[last] - 1);
    }

    private void buildHeap() {
        for (int i = 0; i < next.length; i++) {
            if (next[i] < end[i]) {
                prefixes[i] = hints.get(i).prefix(next[i], commonPrefix);
                heap[heapSize] = i;
                heapSize++;
            }
        }
        for (int i = heapSize / 2 - 1; i >= 0; i--) {
            siftDown(i);
        }
    }

    private void mergeHeap() {
        SegmentHint lastHint = null;
        int lastPosition = 0;
        long lastPrefix = 0;
        while (heapSize > 0) {
            int top = heap[0];
            SegmentHint hint = hints.get(top);
            int position = next[top];
            next[top]++;
            if (lastHint == null || lastPrefix != prefixes[top] || lastHint.compare(lastPosition, hint, position) != 0) {
                lastHint = hint;
                lastPosition = position;
                lastPrefix = prefixes[top];
                if (hint.kind(position) == Operation.PUT) {
                    hint.addTo(leafBuilder, position);
                    liveBytes[top] += hint.length(position);
                }
            }
            if (next[top] < end[top]) {
                prefixes[top] = hint.prefix(next[top], commonPrefix);
            } else {
                heapSize--;
                heap[0] = heap[heapSize];
            }
            siftDown(0);
        }
        leafBuilder.finish();
    }

    private void siftDown(int from) {
        int parent = from;
        while (2 * parent + 1 < heapSize) {
            int child = 2 * parent + 1;
            if (child + 1 < heapSize && isBefore(heap[child + 1], heap[child])) {
                child++;
            }
            if (!isBefore(heap[child], heap[parent])) {
                return;
            }
            int moved = heap[parent];
            heap[parent] = heap[child];
            heap[child] = moved;
            parent = child;
        }
    }

    private boolean isBefore(int left, int right) {
        if (prefixes[left] != prefixes[right]) {
            return Long.compareUnsigned(prefixes[left], prefixes[right]) < 0;
        }
        SegmentHint leftHint = hints.get(left);
        SegmentHint rightHint = hints.get(right);
        int order = leftHint.compare(next[left], rightHint, next[right]);
        return order != 0 ? order < 0 : leftHint.sequence(next[left]) > rightHint.sequence(next[right]);
    }
}
