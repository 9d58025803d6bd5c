package kelphollow.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How much of each segment is live, and which segments compaction takes next. No I/O; one thread at a time. What is
 * live is counted in bytes of operations; heads of frames and commit markers count as dead.
 *
 * <p>The choice is cost and benefit after Rosenblum and Ousterhout, "The Design and Implementation of a Log-Structured
 * File System" (1991), without their age, since what is rewritten here is not sorted by age: of the segments that give
 * back most for what must be copied, as many as fill one new segment. A removal must stay while an older segment may
 * hold a value of its key. When such removals have piled up, all sealed segments are compacted at once, since only
 * then nothing older is left.
 */
final class SegmentUsage {
    /** Compaction begins when the segments are so many times as long as what is live in them; 2.5 is promised. */
    static final double TARGET = 1.8;
    /** From this part of what is live on, removals that cannot go alone are a reason to compact everything. */
    static final double REMOVALS = 0.25;
    /** A segment is worth copying if so much of it comes back. */
    static final double LEAST_GAIN = 0.2;

    private static final class Account {
        long length, live, removals, firstSequence;
        boolean isSealed;
    }

    private final Map<Long, Account> accounts = new HashMap<>();

    void segment(long id, long firstSequence, long length, boolean isSealed) {
        Account a = accounts.computeIfAbsent(id, x -> new Account());
        a.firstSequence = firstSequence;
        a.length = length;
        a.isSealed = isSealed;
    }

    void live(long segment, long bytes) {
        accounts.get(segment).live += bytes;
    }

    void removal(long segment, long bytes) {
        accounts.get(segment).removals += bytes;
    }

    void dead(Index.Place place) {
        Account a = place == null ? null : accounts.get((long) place.segment());
        if (a != null) {
            a.live -= place.length();
        }
    }

    void drop(long id) {
        accounts.remove(id);
    }

    long length() {
        return accounts.values().stream().mapToLong(a -> a.length).sum();
    }

    long live() {
        return accounts.values().stream().mapToLong(a -> a.live).sum();
    }

    int segments() {
        return accounts.size();
    }

    /**
     * The sealed segments to compact now, or none.
     *
     * @param segmentBytes how long a segment becomes; stores of less than two of them are left alone
     */
    List<Long> choose(long segmentBytes) {
        long length = length(), live = live();
        List<Map.Entry<Long, Account>> sealed = new ArrayList<>();
        long removals = 0;
        for (Map.Entry<Long, Account> e : accounts.entrySet()) {
            if (e.getValue().isSealed) {
                sealed.add(e);
                removals += e.getValue().removals;
            }
        }
        sealed.sort(Comparator.comparingLong((Map.Entry<Long, Account> e) -> e.getValue().firstSequence)
            .thenComparing(Map.Entry::getKey));
        if (sealed.isEmpty() || length <= Math.max(TARGET * live, 2 * segmentBytes)) {
            return List.of();
        }
        if (removals > Math.max(REMOVALS * live, segmentBytes / 2)) {
            return sealed.stream().map(Map.Entry::getKey).toList();
        }
        long oldest = sealed.get(0).getKey();
        Map<Long, Long> kept = new HashMap<>();
        for (Map.Entry<Long, Account> e : sealed) {
            Account a = e.getValue();
            kept.put(e.getKey(), a.live + (e.getKey() == oldest ? 0 : a.removals));
        }
        List<Long> chosen = new ArrayList<>();
        long copied = 0, replaced = 0;
        sealed.sort(Comparator.comparingDouble(e -> (double) kept.get(e.getKey()) / e.getValue().length));
        for (Map.Entry<Long, Account> e : sealed) {
            long keep = kept.get(e.getKey());
            boolean pays = written(keep) <= (1 - LEAST_GAIN) * e.getValue().length;
            if (!pays || !chosen.isEmpty() && copied + keep > segmentBytes) {
                break;
            }
            chosen.add(e.getKey());
            copied += keep;
            replaced += e.getValue().length;
        }
        if (replaced > written(copied)) {
            return chosen;
        }
        // Short segments, left by restarts, are worth putting together even though nothing in them is dead.
        List<Long> brief = sealed.stream().filter(e -> e.getValue().length < segmentBytes / 4)
            .map(Map.Entry::getKey).toList();
        return brief.size() > 1 ? brief : List.of();
    }

    /** How long a segment with so much in it is. Guards against compacting for ever what is mostly heads. */
    private static long written(long operations) {
        return operations == 0 ? 0 : Format.SEGMENT_HEADER + operations
            + Format.FRAME_HEAD * (1 + operations / Compactor.FRAME_BYTES);
    }
}
