package kelphollow.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The segments that one compaction writes, with their hints, synced in both folders but not yet in force. Its files are
 * named by no manifest until {@link CommitLog#replace}, so a crash leaves nothing but files that the next opening deletes.
 * Confined to the compactor.
 */
final class CompactionOutput {
    /** A frame is written once it is this long. */
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
     * @param segmentBytes from this length on a segment is finished and the next begun
     * @param firstSequence no operation to be copied has a lower one
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

    /** Copies the operation that sets a key. */
    void addLive(Operation operation, Index.Location from) throws IOException, StoreFault {
        int at = add(operation);
        keys.add(operation.key());
        relocated.put(from, new Index.Location((int) current.id(), (int) current.length() + at, operation.length(),
            operation.sequence(), operation.expiresAt()));
        flushIfFull();
    }

    /** Copies a removal that still hides an older value. */
    void addTombstone(Operation operation) throws IOException, StoreFault {
        add(operation);
        tombstoneBytes.merge(current.id(), (long) operation.length(), Long::sum);
        flushIfFull();
    }

    /** Adds an operation to the frame at hand and returns its place there. */
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

    /** Ends the segment at hand, if any, and syncs it with its hint in both folders. */
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
            throw new IOException(Format.segmentName(entry.id()) + " cannot be read back");
        }
        SegmentHint hint = sealed.writeHint(entry.id(), merge);
        entries.add(entry.withHint(hint.bytes().length, hint.crc()));
        current = null;
    }

    /**
     * Gives up what was written.
     *
     * @param delete false after a fault of the store, when it is not known whether a manifest names the files
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

    /** Bytes of removals in a segment. */
    long tombstoneBytes(long segment) {
        return tombstoneBytes.getOrDefault(segment, 0L);
    }

    /** The keys whose values were copied. */
    List<byte[]> keys() {
        return keys;
    }

    /** New location by old one. */
    Map<Index.Location, Index.Location> relocated() {
        return relocated;
    }
}
