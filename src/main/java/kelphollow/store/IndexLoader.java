package kelphollow.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Builds the index of an opening by one merge of all hints, which are sorted: of each key the operation with the highest
 * sequence wins. Large stores are cut into ranges of keys, which are merged in parallel on the common pool. One use,
 * called from one thread; no object is made per key.
 */
final class IndexLoader {
    /** Fewer operations are merged in one range. */
    static final int MIN_PARALLEL_OPERATIONS = 20_000;
    private static final int RANGES_PER_PROCESSOR = 2;

    private final List<SegmentHint> hints = new ArrayList<>();
    private final Map<Long, Long> liveBytes = new HashMap<>();
    private final Map<Long, Long> tombstoneBytes = new HashMap<>();

    void add(SegmentHint hint) {
        hints.add(hint);
        tombstoneBytes.merge(hint.segment(), hint.tombstoneBytes(), Long::sum);
    }

    Index build() {
        long operations = hints.stream().mapToLong(SegmentHint::count).sum();
        int ranges = operations < MIN_PARALLEL_OPERATIONS ? 1
            : RANGES_PER_PROCESSOR * Runtime.getRuntime().availableProcessors();
        int[][] bounds = bounds(ranges);
        List<HintRange> merged = IntStream.range(0, ranges).parallel()
            .mapToObj(range -> HintRange.merge(hints, bounds[range], bounds[range + 1])).toList();
        for (HintRange range : merged) {
            for (int i = 0; i < hints.size(); i++) {
                liveBytes.merge(hints.get(i).segment(), range.liveBytes(i), Long::sum);
            }
        }
        Index index = Index.of(merged.stream().map(HintRange::leafBuilder).toList());
        hints.clear();
        return index;
    }

    /** Where each range begins in each hint; all operations on one key fall into one range. */
    private int[][] bounds(int ranges) {
        SegmentHint longest = hints.stream().max(Comparator.comparingInt(SegmentHint::count)).orElse(null);
        int[][] bounds = new int[ranges + 1][hints.size()];
        for (int range = 1; range <= ranges; range++) {
            byte[] key = range == ranges ? null : longest.key((int) ((long) longest.count() * range / ranges));
            for (int i = 0; i < hints.size(); i++) {
                bounds[range][i] = key == null ? hints.get(i).count() : hints.get(i).lowerBound(key);
            }
        }
        return bounds;
    }

    /** Bytes of live operations by segment; complete after {@link #build}. */
    Map<Long, Long> liveBytes() {
        return liveBytes;
    }

    /** Bytes of removals by segment. */
    Map<Long, Long> tombstoneBytes() {
        return tombstoneBytes;
    }
}
