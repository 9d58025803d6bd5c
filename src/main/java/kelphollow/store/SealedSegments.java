package kelphollow.store;

import java.io.IOException;

/**
 * Reads sealed segments with all their checks and writes their hints, within the rate of background I/O. Confined to one
 * thread at a time.
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

    /** Reads and checks a segment; the second copy is read only if the first is not intact. */
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

    /** Reads and checks both copies of a segment that is pinned. */
    SegmentMerge readBoth(Segment segment, Manifest.Entry entry) throws IOException, StoreFault {
        byte[] first = segment.copy(0);
        byte[] second = segment.copy(1);
        throttle.acquire(first.length + (long) second.length);
        return merge(segment, first, second, entry);
    }

    /** Damage of both copies ends all writing. */
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

    /** Writes the hint of a segment, synced in both folders; it is not in force before the manifest names it. */
    SegmentHint writeHint(long segment, SegmentMerge merge) throws IOException {
        SegmentHint hint = hint(segment, merge);
        throttle.acquire(2L * hint.bytes().length);
        for (Disk disk : segments.disks()) {
            AtomicFile.write(disk, Format.hintName(segment), hint.bytes());
            disk.syncFolder();
        }
        return hint;
    }

    /** The hint that belongs to a segment. */
    SegmentHint hint(long segment, SegmentMerge merge) {
        return SegmentHint.of(segments.storeId(), merge, segment);
    }
}
