package kelphollow.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks how much of each segment is live and chooses the segments to compact next. No I/O; confined to the writer's thread.
 * Only operations count as live bytes, frame headers and commit markers as dead.
 *
 * <p>The choice is the cost-benefit policy of Rosenblum and Ousterhout, "The Design and Implementation of a Log-Structured
 * File System" (1991), without the age factor, since compaction here does not sort data by age: it takes the segments that
 * free the most space per byte copied, as many as fill one new segment. A tombstone must be kept while an older segment may
 * hold a value of its key. When such tombstones have accumulated, all sealed segments are compacted at once, since only then
 * no older segment is left.
 */
final class SegmentUsage {
    /** Compaction starts when the total length of the segments exceeds this multiple of their live bytes. */
    static final double MAX_LENGTH_TO_LIVE = 1.8;
    /** All sealed segments are compacted when their tombstones exceed this fraction of the live bytes. */
    static final double MAX_TOMBSTONES_TO_LIVE = 0.25;
    /** A segment is compacted only if this frees at least this fraction of it. */
    static final double MIN_FREED = 0.2;

    private static final class Usage {
        private long length;
        private long live;
        private long tombstones;
        private long firstSequence;
        private boolean isSealed;
    }

    private final Map<Long, Usage> usages = new HashMap<>();

    void setSegment(long id, long firstSequence, long length, boolean isSealed) {
        Usage usage = usages.computeIfAbsent(id, number -> new Usage());
        usage.firstSequence = firstSequence;
        usage.length = length;
        usage.isSealed = isSealed;
    }

    void addLive(long segment, long bytes) {
        usages.get(segment).live += bytes;
    }

    void addTombstones(long segment, long bytes) {
        usages.get(segment).tombstones += bytes;
    }

    /** Records that the operation at this location has been superseded; null is ignored. */
    void addDead(Index.Location location) {
        Usage usage = location == null ? null : usages.get((long) location.segment());
        if (usage != null) {
            usage.live -= location.length();
        }
    }

    void remove(long id) {
        usages.remove(id);
    }

    /** Total length of one copy of all segments, in bytes. */
    long length() {
        return usages.values().stream().mapToLong(usage -> usage.length).sum();
    }

    /** Total length of all live operations, in bytes. */
    long live() {
        return usages.values().stream().mapToLong(usage -> usage.live).sum();
    }

    /** Number of segments. */
    int segments() {
        return usages.size();
    }

    /**
     * Chooses the sealed segments to compact now; empty if there are none.
     *
     * @param segmentBytes size at which a segment is sealed; a store smaller than two such segments is not compacted
     */
    List<Long> choose(long segmentBytes) {
        long live = live();
        List<Map.Entry<Long, Usage>> sealed = sealedByAge();
        if (sealed.isEmpty() || length() <= Math.max(MAX_LENGTH_TO_LIVE * live, 2.0 * segmentBytes)) {
            return List.of();
        }
        long tombstones = sealed.stream().mapToLong(entry -> entry.getValue().tombstones).sum();
        long halfSegment = segmentBytes / 2;
        if (tombstones > Math.max(MAX_TOMBSTONES_TO_LIVE * live, (double) halfSegment)) {
            return sealed.stream().map(Map.Entry::getKey).toList();
        }
        List<Long> chosen = chooseByBenefit(sealed, segmentBytes);
        return chosen.isEmpty() ? chooseSmall(sealed, segmentBytes) : chosen;
    }

    private List<Map.Entry<Long, Usage>> sealedByAge() {
        List<Map.Entry<Long, Usage>> sealed = new ArrayList<>();
        for (Map.Entry<Long, Usage> entry : usages.entrySet()) {
            if (entry.getValue().isSealed) {
                sealed.add(entry);
            }
        }
        sealed.sort(Comparator.comparingLong((Map.Entry<Long, Usage> entry) -> entry.getValue().firstSequence)
            .thenComparing(Map.Entry::getKey));
        return sealed;
    }

    /** Chooses the segments with the lowest share to copy, as many as fill one new segment; sorts {@code sealed} by it. */
    private static List<Long> chooseByBenefit(List<Map.Entry<Long, Usage>> sealed, long segmentBytes) {
        long oldest = sealed.get(0).getKey();
        Map<Long, Long> kept = new HashMap<>();
        for (Map.Entry<Long, Usage> entry : sealed) {
            Usage usage = entry.getValue();
            kept.put(entry.getKey(), usage.live + (entry.getKey() == oldest ? 0 : usage.tombstones));
        }
        sealed.sort(Comparator.comparingDouble(entry -> (double) kept.get(entry.getKey()) / entry.getValue().length));
        List<Long> chosen = new ArrayList<>();
        long copied = 0;
        long replaced = 0;
        for (Map.Entry<Long, Usage> entry : sealed) {
            long keep = kept.get(entry.getKey());
            boolean freesEnough = writtenLength(keep) <= (1 - MIN_FREED) * entry.getValue().length;
            if (!freesEnough || !chosen.isEmpty() && copied + keep > segmentBytes) {
                break;
            }
            chosen.add(entry.getKey());
            copied += keep;
            replaced += entry.getValue().length;
        }
        return replaced > writtenLength(copied) ? chosen : List.of();
    }

    /** Chooses small segments, which restarts leave behind, to merge them even if nothing in them is dead. */
    private static List<Long> chooseSmall(List<Map.Entry<Long, Usage>> sealed, long segmentBytes) {
        List<Long> small = sealed.stream().filter(entry -> entry.getValue().length < segmentBytes / 4)
            .map(Map.Entry::getKey).toList();
        return small.size() > 1 ? small : List.of();
    }

    /**
     * Length of a segment that holds this many bytes of operations. Including the headers prevents compacting segments again
     * and again that consist mostly of headers.
     */
    private static long writtenLength(long operations) {
        return operations == 0 ? 0 : Format.SEGMENT_HEADER_BYTES + operations
            + Format.FRAME_HEADER_BYTES * (1 + operations / CompactionOutput.FRAME_BYTES);
    }
}
