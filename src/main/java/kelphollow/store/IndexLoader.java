package kelphollow.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Builds the index of an opening by one merge of all hints, which are sorted: of each key the operation with the
 * highest sequence holds. Large stores are cut into ranges of keys, which are merged side by side on the common pool.
 * One use, one thread calls it; no object is made for a key.
 */
final class IndexLoader {
    // Below so many operations one range is quicker than handing out several.
    static final int WORTH_CUTTING = 20_000;

    private final List<SegmentHint> hints = new ArrayList<>();
    private final Map<Long, Long> live = new HashMap<>(), removals = new HashMap<>();

    void add(SegmentHint hint) {
        hints.add(hint);
        removals.merge(hint.segment(), hint.removals(), Long::sum);
    }

    Index build() {
        long operations = hints.stream().mapToLong(SegmentHint::count).sum();
        int ranges = operations < WORTH_CUTTING ? 1 : 2 * Runtime.getRuntime().availableProcessors();
        int[][] cuts = cuts(ranges);
        List<Range> merged = IntStream.range(0, ranges).parallel()
            .mapToObj(r -> new Range(cuts[r], cuts[r + 1]).merge()).toList();
        for (Range range : merged) {
            for (int h = 0; h < hints.size(); h++) {
                live.merge(hints.get(h).segment(), range.live[h], Long::sum);
            }
        }
        Index index = Index.of(merged.stream().map(r -> r.run).toList());
        hints.clear();
        return index;
    }

    /** For each range where it begins in each hint; all operations on one key fall into one range. */
    private int[][] cuts(int ranges) {
        SegmentHint longest = hints.stream().max(java.util.Comparator.comparingInt(SegmentHint::count)).orElse(null);
        int[][] cuts = new int[ranges + 1][hints.size()];
        for (int r = 1; r <= ranges; r++) {
            byte[] key = r == ranges ? null : longest.key((int) ((long) longest.count() * r / ranges));
            for (int h = 0; h < hints.size(); h++) {
                cuts[r][h] = key == null ? hints.get(h).count() : hints.get(h).lowerBound(key);
            }
        }
        return cuts;
    }

    /** One range of keys; its cursors stand in a binary heap, the one with the least key and latest sequence on top. */
    private final class Range {
        private final int[] next, end;
        private final long[] prefixes;
        private final int[] heap;
        private int size, skip;
        final long[] live = new long[hints.size()];
        final Index.Run run = new Index.Run();

        Range(int[] from, int[] end) {
            this.next = from.clone();
            this.end = end;
            this.prefixes = new long[from.length];
            this.heap = new int[from.length];
        }

        /** What all keys of the range begin with is what its first and its last begin with. */
        private int common() {
            int first = -1, last = -1;
            for (int h = 0; h < next.length; h++) {
                if (next[h] < end[h]) {
                    SegmentHint hint = hints.get(h);
                    first = first < 0 || hint.compare(next[h], hints.get(first), next[first]) < 0 ? h : first;
                    last = last < 0 || hint.compare(end[h] - 1, hints.get(last), end[last] - 1) > 0 ? h : last;
                }
            }
            return first < 0 ? 0 : hints.get(first).common(next[first], hints.get(last), end[last] - 1);
        }

        Range merge() {
            skip = common();
            for (int h = 0; h < next.length; h++) {
                if (next[h] < end[h]) {
                    prefixes[h] = hints.get(h).prefix(next[h], skip);
                    heap[size++] = h;
                }
            }
            for (int i = size / 2 - 1; i >= 0; i--) {
                sink(i);
            }
            SegmentHint last = null;
            int lastAt = 0;
            long lastPrefix = 0;
            while (size > 0) {
                int h = heap[0];
                SegmentHint hint = hints.get(h);
                int i = next[h]++;
                if (last == null || lastPrefix != prefixes[h] || last.compare(lastAt, hint, i) != 0) {
                    last = hint;
                    lastAt = i;
                    lastPrefix = prefixes[h];
                    if (hint.kind(i) == Format.PUT) {
                        hint.addTo(run, i);
                        live[h] += hint.length(i);
                    }
                }
                if (next[h] < end[h]) {
                    prefixes[h] = hint.prefix(next[h], skip);
                } else {
                    heap[0] = heap[--size];
                }
                sink(0);
            }
            run.end();
            return this;
        }

        private void sink(int from) {
            int i = from;
            while (2 * i + 1 < size) {
                int child = 2 * i + 1;
                if (child + 1 < size && isBefore(heap[child + 1], heap[child])) {
                    child++;
                }
                if (!isBefore(heap[child], heap[i])) {
                    return;
                }
                int h = heap[i];
                heap[i] = heap[child];
                heap[child] = h;
                i = child;
            }
        }

        private boolean isBefore(int x, int y) {
            if (prefixes[x] != prefixes[y]) {
                return Long.compareUnsigned(prefixes[x], prefixes[y]) < 0;
            }
            SegmentHint a = hints.get(x), b = hints.get(y);
            int c = a.compare(next[x], b, next[y]);
            return c != 0 ? c < 0 : a.sequence(next[x]) > b.sequence(next[y]);
        }
    }

    /** Bytes of live operations by segment; after {@link #build}. */
    Map<Long, Long> live() {
        return live;
    }

    /** Bytes of removals by segment. */
    Map<Long, Long> removals() {
        return removals;
    }
}
