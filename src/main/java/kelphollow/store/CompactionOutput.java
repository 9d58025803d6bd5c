package kelphollow.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The segments and hints that one compaction writes and syncs in both folders. No manifest lists them before
 * {@link CommitLog#replace}; after a crash before that the next opening deletes them. Confined to the compactor.
 */
final class CompactionOutput {
    /** A frame is flushed once its length reaches this. */
    static final int FRAME_BYTES = 64 * 1024;

    private final SegmentSet set;
    private final Writer writer;
    private final SealedSegments sealed;
    private final IoThrottle throttle;
    private final long segmentBytes;
    private final long firstSequence;
    private final List<Manifest.Entry> entries = new ArrayList<>();
    private final List<Segment> segments = new ArrayList<>();
    private final Map<Long, Long> tombstoneBytes = new HashMap<>();
    private final List<byte[]> keys = new ArrayList<>();
    private final Map<Index.Location, Index.Location> relocated = new HashMap<>();
    private final FrameWriter frame = new FrameWriter(2 * FRAME_BYTES);
    private Segment current;
    private boolean frameBegun;
    private int frameAt;
    private int frameOperations;
    private long frameSequence;

    /**
     * @param segmentBytes length at which a segment is finished and the next one is created
     * @param firstSequence lower bound of the sequences of all copied operations
     */
    CompactionOutput(SegmentSet set, Writer writer, SealedSegments sealed, IoThrottle throttle, long segmentBytes,
        long firstSequence) {
        this.set = set;
        this.writer = writer;
        this.sealed = sealed;
        this.throttle = throttle;
        this.segmentBytes = segmentBytes;
        this.firstSequence = firstSequence;
    }

    /** Copies the operation that set the current value of a key. */
    void addLive(Operation operation, Index.Location from) throws IOException, StoreFault {
        int at = add(operation);
        keys.add(operation.key());
        relocated.put(from, new Index.Location((int) current.id(), (int) current.length() + at, operation.length(),
            operation.sequence(), operation.expiresAt()));
        flushIfFull();
    }

    /** Copies a tombstone that an older value in another segment still requires. */
    void addTombstone(Operation operation) throws IOException, StoreFault {
        add(operation);
        tombstoneBytes.merge(current.id(), (long) operation.length(), Long::sum);
        flushIfFull();
    }

    /** Adds an operation to the current frame and returns its offset in the buffer. */
    private int add(Operation operation) throws IOException, StoreFault {
        if (current != null && current.length() + frame.length() + operation.length() > segmentBytes
            && current.length() + frame.length() > Format.SEGMENT_HEADER_BYTES + Format.FRAME_HEADER_BYTES) {
            finish();
        }
        if (current == null) {
            long id = writer.call(CommitLog::newSegment);
            current = Segment.create(set.disks(), set.storeId(), id, firstSequence);
            segments.add(current);
        }
        if (!frameBegun) {
            frameAt = frame.begin(operation.length());
            frameBegun = true;
        }
        frameOperations++;
        frameSequence = Math.max(frameSequence, operation.sequence());
        return frame.operation(operation);
    }

    private void flushIfFull() throws IOException {
        if (frame.length() >= FRAME_BYTES) {
            flush();
        }
    }

    private void flush() throws IOException {
        if (frameBegun) {
            frame.end(frameAt, Format.MOVED, frameSequence, current.id(), current.length());
            throttle.acquire(2L * frame.length());
            current.append(frame.bytes(), frameOperations);
            frame.clear();
            frameBegun = false;
            frameOperations = 0;
            frameSequence = 0;
        }
    }

    /** Finishes the current segment, if any: syncs it, reads it back, and writes its hint in both folders. */
    void finish() throws IOException, StoreFault {
        if (current == null) {
            return;
        }
        flush();
        current.sync();
        Manifest.Entry entry = current.sealedEntry();
        byte[] copy = current.copy(0);
        SegmentMerge merge = new SegmentMerge(copy, copy, set.storeId(), entry);
        if (!merge.damages().isEmpty()) {
            throw new IOException(Format.segmentName(entry.id()) + " is damaged when read back after compaction");
        }
        SegmentHint hint = sealed.writeHint(entry.id(), merge);
        entries.add(entry.withHint(hint.bytes().length, hint.crc()));
        current = null;
    }

    /**
     * Discards the output.
     *
     * @param delete whether to delete the files; false after a fault of the store, when a manifest may already list them
     */
    void abandon(boolean delete) {
        for (Segment segment : segments) {
            if (delete) {
                segment.markReplaced();
            }
            segment.release();
        }
    }

    List<Manifest.Entry> entries() {
        return entries;
    }

    List<Segment> segments() {
        return segments;
    }

    /** Total size in bytes of the tombstones in a segment. */
    long tombstoneBytes(long segment) {
        return tombstoneBytes.getOrDefault(segment, 0L);
    }

    /** The keys of the copied live operations. */
    List<byte[]> keys() {
        return keys;
    }

    /** Maps the old location of each copied live operation to its new one. */
    Map<Index.Location, Index.Location> relocated() {
        return relocated;
    }
}
