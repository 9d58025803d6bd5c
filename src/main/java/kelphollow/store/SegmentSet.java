package kelphollow.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The open segments and the current index, shared by readers, the writer and the compactor. Only the writer's thread
 * publishes an index and adds or retires segments; any thread may read. A segment is retired only after an index that no
 * longer refers to it has been published, so a reader that finds a segment closed retries with the newer index.
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

    /** The current index. */
    Index index() {
        return index;
    }

    /** The open segment with this id, or null. */
    Segment segment(long id) {
        return segments.get(id);
    }

    void publish(Index next) {
        index = next;
    }

    void add(Segment segment) {
        segments.put(segment.id(), segment);
    }

    /** Removes a segment that compaction has replaced; its files are deleted when the last reader releases it. */
    void retire(long id) {
        Segment retired = segments.remove(id);
        if (retired != null) {
            retired.markReplaced();
            retired.release();
        }
    }

    /** Releases all segments when the store is closed. */
    void releaseAll() {
        segments.values().forEach(Segment::release);
    }

    /**
     * Returns the value of a key, or null if there is none or it has expired by {@code clock}. Blocks on the disk.
     *
     * @throws StoreFault CLOSED after the store was closed, DAMAGED if the value is intact in neither copy
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

    /** Reads a value from a pinned segment. */
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
            + " offset=" + offset + " sequence=" + sequence + " is intact in neither copy");
    }

    /** Pins the current index and all segments that it refers to; null if the store has been closed. */
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

    /** A consistent view of the store; the caller that pinned it must release it. */
    record Pinned(Index index, List<Segment> segments) {
        void release() {
            segments.forEach(Segment::release);
        }
    }
}
