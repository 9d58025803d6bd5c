package kelphollow.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Builds the index when a store is opened by merging all hints, which are sorted by key: for each key the operation with the
 * highest sequence wins. Splits large stores into key ranges and merges them in parallel on the common pool. For one use
 * from one thread; allocates no object per key.
 */
final class IndexLoader {
    /** Stores with fewer operations are merged as one range, without parallelism. */
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

    /** Start position of each range in each hint; all operations on one key fall into the same range. */
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

    /** Bytes of live operations by segment id; complete after {@link #build}. */
    Map<Long, Long> liveBytes() {
        return liveBytes;
    }

    /** Bytes of tombstones by segment id. */
    Map<Long, Long> tombstoneBytes() {
        return tombstoneBytes;
    }
}
