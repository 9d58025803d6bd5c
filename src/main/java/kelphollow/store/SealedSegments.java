package kelphollow.store;

import java.io.IOException;

/**
 * Reads and verifies sealed segments and writes their hints, throttled as background I/O. Used by one thread at a time.
 */
final class SealedSegments {
    private final SegmentSet segments;
    private final Writer writer;
    private final IoThrottle throttle;

    SealedSegments(SegmentSet segments, Writer writer, IoThrottle throttle) {
        this.segments = segments;
        this.writer = writer;
        this.throttle = throttle;
    }

    /** Reads and verifies a segment; the second copy is read only if the first is not intact. */
    SegmentMerge read(Manifest.Entry entry) throws IOException, StoreFault {
        Segment segment = segments.segment(entry.id());
        if (segment == null || !segment.pin()) {
            throw new IOException(Format.segmentName(entry.id()) + " has been closed");
        }
        try {
            byte[] first = segment.copy(0);
            throttle.acquire(first.length);
            SegmentMerge merge = new SegmentMerge(first, first, segments.storeId(), entry);
            if (merge.damages().isEmpty() && merge.isFirstIntact()) {
                return merge;
            }
            return merge(segment, first, segment.copy(1), entry);
        } finally {
            segment.release();
        }
    }

    /** Reads and verifies both copies of a pinned segment. */
    SegmentMerge readBoth(Segment segment, Manifest.Entry entry) throws IOException, StoreFault {
        byte[] first = segment.copy(0);
        byte[] second = segment.copy(1);
        throttle.acquire(first.length + (long) second.length);
        return merge(segment, first, second, entry);
    }

    /** Merges both copies; stops the writer and fails if a record is intact in neither. */
    private SegmentMerge merge(Segment segment, byte[] first, byte[] second, Manifest.Entry entry) throws StoreFault {
        SegmentMerge merge = new SegmentMerge(first, second, segments.storeId(), entry);
        if (!merge.damages().isEmpty()) {
            SegmentMerge.Damage damage = merge.damages().get(0);
            StoreFault fault = segments.damagedRecord(segment, damage.at(), damage.sequence());
            writer.stop(fault);
            throw fault;
        }
        return merge;
    }

    /** Writes and syncs the hint of a segment in both folders. Recovery ignores it until the manifest lists it. */
    SegmentHint writeHint(long segment, SegmentMerge merge) throws IOException {
        SegmentHint hint = hint(segment, merge);
        throttle.acquire(2L * hint.bytes().length);
        for (Disk disk : segments.disks()) {
            AtomicFile.write(disk, Format.hintName(segment), hint.bytes());
            disk.syncFolder();
        }
        return hint;
    }

    /** Builds the hint of a segment that was read. */
    SegmentHint hint(long segment, SegmentMerge merge) {
        return SegmentHint.of(segments.storeId(), merge, segment);
    }
}
