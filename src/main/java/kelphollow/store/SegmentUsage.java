package kelphollow.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How much of each segment is live, and which segments to compact next. No I/O; confined to the writer's thread. Live
 * bytes are those of operations; heads of frames and commit markers count as dead.
 *
 * <p>The choice is cost and benefit after Rosenblum and Ousterhout, "The Design and Implementation of a Log-Structured
 * File System" (1991), without their age, since what is rewritten here is not sorted by age: of the segments that free
 * most for what must be copied, as many as fill one new segment. A tombstone must stay while an older segment may hold a
 * value of its key. When such tombstones have piled up, all sealed segments are compacted at once, since only then nothing
 * older is left.
 */
final class SegmentUsage {
    /** Compaction begins when the segments are this many times as long as what is live in them. */
    static final double MAX_LENGTH_TO_LIVE = 1.8;
    /** Tombstones of this fraction of what is live are a reason to compact everything. */
    static final double MAX_TOMBSTONES_TO_LIVE = 0.25;
    /** A segment is compacted only if this fraction of it is freed. */
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

    /** The operation here is the latest of its key no more; null is ignored. */
    void addDead(Index.Location location) {
        Usage usage = location == null ? null : usages.get((long) location.segment());
        if (usage != null) {
            usage.live -= location.length();
        }
    }

    void remove(long id) {
        usages.remove(id);
    }

    /** Bytes of all segments, one copy. */
    long length() {
        return usages.values().stream().mapToLong(usage -> usage.length).sum();
    }

    /** Bytes of live operations. */
    long live() {
        return usages.values().stream().mapToLong(usage -> usage.live).sum();
    }

    /** Number of segments. */
    int segments() {
        return usages.size();
    }

    /**
     * The sealed segments to compact now, or none.
     *
     * @param segmentBytes how long a segment becomes; stores of less than two of them are left alone
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
        return chosen.isEmpty() ? chooseShort(sealed, segmentBytes) : chosen;
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

    /** The segments with the least to copy, as many as fill one new segment; sorts {@code sealed} in that order. */
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
            boolean pays = writtenLength(keep) <= (1 - MIN_FREED) * entry.getValue().length;
            if (!pays || !chosen.isEmpty() && copied + keep > segmentBytes) {
                break;
            }
            chosen.add(entry.getKey());
            copied += keep;
            replaced += entry.getValue().length;
        }
        return replaced > writtenLength(copied) ? chosen : List.of();
    }

    /** Short segments, left by restarts, are joined even though nothing in them is dead. */
    private static List<Long> chooseShort(List<Map.Entry<Long, Usage>> sealed, long segmentBytes) {
        List<Long> brief = sealed.stream().filter(entry -> entry.getValue().length < segmentBytes / 4)
            .map(Map.Entry::getKey).toList();
        return brief.size() > 1 ? brief : List.of();
    }

    /** How long a segment with these operations becomes. Guards against compacting for ever what is mostly heads. */
    private static long writtenLength(long operations) {
        return operations == 0 ? 0 : Format.SEGMENT_HEADER_BYTES + operations
            + Format.FRAME_HEADER_BYTES * (1 + operations / CompactionOutput.FRAME_BYTES);
    }
}
