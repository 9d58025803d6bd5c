package kelphollow.store;

import java.io.IOException;
import java.util.List;

/**
 * Reads both copies of every sealed segment and repairs a damaged copy from the other one before that is damaged too. Used
 * by one thread at a time.
 */
final class Scrubber {
    private final SegmentSet segments;
    private final Writer writer;
    private final SealedSegments sealed;

    Scrubber(SegmentSet segments, Writer writer, SealedSegments sealed) {
        this.segments = segments;
        this.writer = writer;
        this.sealed = sealed;
    }

    /** Returns the number of repaired files; fails, and stops the writer, if a record is intact in neither copy. */
    int scrubAll(IntegrityReport report) throws IOException, StoreFault {
        List<Manifest.Entry> entries = writer.call(CommitLog::manifest).segments();
        int repaired = 0;
        for (Manifest.Entry entry : entries) {
            Segment segment = entry.isSealed() ? segments.segment(entry.id()) : null;
            if (segment == null || !segment.pin()) {
                continue;        // compaction has replaced it in the meantime
            }
            try {
                repaired += scrub(segment, entry, report);
            } finally {
                segment.release();
            }
        }
        return repaired;
    }

    private int scrub(Segment segment, Manifest.Entry entry, IntegrityReport report) throws IOException, StoreFault {
        SegmentMerge merge = sealed.readBoth(segment, entry);
        boolean[] intact = {merge.isFirstIntact(), merge.isSecondIntact()};
        Disk[] disks = segments.disks();
        int repaired = 0;
        for (int i = 0; i < disks.length; i++) {
            if (!intact[i]) {
                segment.repair(i, merge.image());
                report.addRepaired(disks[i].path() + "/" + Format.segmentName(entry.id()),
                    "from " + disks[1 - i].path());
                repaired++;
            }
        }
        return repaired + (entry.hintLength() > 0 ? scrubHint(merge, entry, report) : 0);
    }

    private int scrubHint(SegmentMerge merge, Manifest.Entry entry, IntegrityReport report) throws IOException {
        byte[] expected = sealed.hint(entry.id(), merge).bytes();
        String name = Format.hintName(entry.id());
        int repaired = 0;
        for (Disk disk : segments.disks()) {
            if (AtomicFile.read(disk, name, expected) != expected) {
                AtomicFile.replace(disk, name, name + FolderFiles.REPLACEMENT_SUFFIX, expected);
                report.addRepaired(disk.path() + "/" + name, "from " + Format.segmentName(entry.id()));
                repaired++;
            }
        }
        return repaired;
    }
}
