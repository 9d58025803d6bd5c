package kelphollow.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The open segments and the index in force, shared by readers, the writer and the compactor. The writer's thread alone
 * publishes an index, adds and retires segments; any thread may read. A segment is retired only after an index that no
 * longer refers to it was published, so a reader that finds one closed reads again with the newer index.
 */
final class SegmentSet {
    private final Disk[] disks;
    private final StoreId storeId;
    private final Map<Long, Segment> segments;
    private volatile Index index;

    SegmentSet(Disk[] disks, StoreId storeId, Map<Long, Segment> segments, Index index) {
        this.disks = disks;
        this.storeId = storeId;
        this.segments = new ConcurrentHashMap<>(segments);
        this.index = index;
    }

    Disk[] disks() {
        return disks;
    }

    StoreId storeId() {
        return storeId;
    }

    /** The index in force. */
    Index index() {
        return index;
    }

    /** The open segment of this number, or null. */
    Segment segment(long number) {
        return segments.get(number);
    }

    void publish(Index next) {
        index = next;
    }

    void add(Segment segment) {
        segments.put(segment.id(), segment);
    }

    /** Drops a segment that compaction has replaced; its files go when the last snapshot releases it. */
    void retire(long number) {
        Segment retired = segments.remove(number);
        if (retired != null) {
            retired.markReplaced();
            retired.release();
        }
    }

    /** Releases all segments, at the end of the store. */
    void releaseAll() {
        segments.values().forEach(Segment::release);
    }

    /**
     * The value of a key that has not expired at {@code clock}, or null. Blocks on the disk.
     *
     * @throws StoreFault CLOSED after the end of the store, DAMAGED if the value is intact in neither copy
     */
    byte[] get(byte[] key, StoreClock clock) throws IOException, StoreFault {
        while (true) {
            Index current = index;
            Index.Location location = current.get(key);
            if (location == null || location.expiresAt() > 0 && location.isExpired(clock.getAsLong())) {
                return null;
            }
            Segment segment = segments.get((long) location.segment());
            if (segment != null && segment.pin()) {
                try {
                    return read(segment, key, location);
                } finally {
                    segment.release();
                }
            }
            if (current == index) {
                throw new StoreFault(StoreFault.Kind.CLOSED, "the store is closed");
            }
        }
    }

    /** Reads a value from a segment that is pinned. */
    byte[] read(Segment segment, byte[] key, Index.Location location) throws IOException, StoreFault {
        Operation operation = segment.read(key, location);
        if (operation == null) {
            throw damagedRecord(segment, location.offset(), location.sequence());
        }
        return operation.value();
    }

    /** The fault for a record that is intact in neither copy. */
    StoreFault damagedRecord(Segment segment, long offset, long sequence) {
        return new StoreFault(StoreFault.Kind.DAMAGED, disks[0].path() + "/" + Format.segmentName(segment.id())
            + " offset=" + offset + " sequence=" + sequence + " is whole in neither copy");
    }

    /** An index with all the segments that it refers to, pinned; null if the segments were closed with the store. */
    Pinned pin() {
        while (true) {
            Index current = index;
            List<Segment> pinned = new ArrayList<>();
            boolean complete = true;
            for (Segment segment : segments.values()) {
                if (segment.pin()) {
                    pinned.add(segment);
                } else {
                    complete = false;
                }
            }
            if (complete && current == index) {
                return new Pinned(current, pinned);
            }
            pinned.forEach(Segment::release);
            if (!complete && current == index) {
                return null;
            }
        }
    }

    /** A consistent view; whoever pinned it releases its segments. */
    record Pinned(Index index, List<Segment> segments) {
        void release() {
            segments.forEach(Segment::release);
        }
    }
}
