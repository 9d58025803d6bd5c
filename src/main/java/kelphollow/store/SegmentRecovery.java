package kelphollow.store;

import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Recovers the segments in the manifest's order: makes both copies equal and adds the operations to the index. An active
 * segment that was not closed cleanly is rewritten as a new one, so that nothing is ever appended after a failed sync or a
 * truncated end. Confined to the thread that opens the store.
 */
final class SegmentRecovery {
    private static final int BUFFER_BYTES = 64 * 1024;

    /** Size of a segment, as found by an inspection. */
    record Size(long bytes, int operations) {}

    private final Disk[] disks;
    private final Manifest manifest;
    private final long now;
    private final RecoveryMode mode;
    private final IntegrityReport report;
    private final Map<Long, Segment> segments;
    private final IndexLoader loader = new IndexLoader();
    private final Map<Integer, String> tableNames = new HashMap<>();
    private final Map<Long, Size> sizes = new HashMap<>();
    private Segment active;
    private long lastSequence;
    private long time;
    private long lastNewId;

    /** Adds the segments that it opens to {@code segments}; the caller releases them. */
    SegmentRecovery(Disk[] disks, Manifest manifest, long now, RecoveryMode mode, IntegrityReport report,
        Map<Long, Segment> segments) {
        this.disks = disks;
        this.manifest = manifest;
        this.now = now;
        this.mode = mode;
        this.report = report;
        this.segments = segments;
    }

    /** The index loader, which holds the operations of all segments recovered so far. */
    IndexLoader loader() {
        return loader;
    }

    /** The segment to append to, null if there is none. */
    Segment active() {
        return active;
    }

    long lastSequence() {
        return lastSequence;
    }

    /** The latest time in any commit marker that was read, in Unix milliseconds. */
    long time() {
        return time;
    }

    /** Names of tables by number, collected by an inspection. */
    Map<Integer, String> tableNames() {
        return tableNames;
    }

    /** The size of a segment that was inspected. */
    Size size(long segment) {
        return sizes.get(segment);
    }

    /** Recovers a segment and returns its new manifest entry; null if no operation of it is left. */
    Manifest.Entry recover(SegmentInspection inspection) throws IOException, StoreFault {
        Manifest.Entry entry = inspection.entry();
        if (inspection.isHintSufficient() && openWithHint(entry, inspection.hint(), inspection.hintFilesIntact())) {
            return entry;
        }
        inspection.readBoth(disks, manifest.store());
        SegmentMerge merge = inspection.merge();
        reportMerge(merge, Format.segmentName(entry.id()));
        lastSequence = Math.max(lastSequence, merge.lastSequence());
        time = Math.max(time, merge.time());
        if (mode == RecoveryMode.INSPECT) {
            reportDifferences(inspection);
            collectTableNames(merge);
            load(inspection.hint());
            sizes.put(entry.id(), new Size(merge.image().length, inspection.hint().count()));
            return entry;
        }
        boolean complete = merge.damages().isEmpty() && merge.image().length >= Format.SEGMENT_HEADER_BYTES;
        if (!complete && mode == RecoveryMode.REJECT_LOSS) {
            return entry;
        }
        if (!complete || !entry.isSealed() && !merge.isClean()) {
            return rewrite(merge, entry);
        }
        repairCopies(inspection);
        return open(inspection);
    }

    private void reportMerge(SegmentMerge merge, String name) {
        for (SegmentMerge.Damage damage : merge.damages()) {
            report.add(IntegrityReport.Kind.DAMAGED, path(disks[0], name), damage.at(), damage.sequence(), "to offset "
                + damage.end() + ", and the same in " + disks[1].path());
        }
        if (merge.truncatedBytes() > 0) {
            report.add(IntegrityReport.Kind.TRUNCATED, path(disks[0], name), merge.image().length,
                merge.lastSequence() + 1, merge.truncatedBytes() + " bytes that were never acknowledged as safe");
        }
    }

    private void reportDifferences(SegmentInspection inspection) {
        SegmentMerge merge = inspection.merge();
        if (merge.truncatedBytes() > 0) {
            return;
        }
        String name = Format.segmentName(inspection.entry().id());
        if (!merge.isFirstIntact()) {
            report.add(IntegrityReport.Kind.DIFFERS, path(disks[0], name), inspection.first().length,
                IntegrityReport.NOT_APPLICABLE, "an opening repairs it");
        }
        if (!merge.isSecondIntact()) {
            report.add(IntegrityReport.Kind.DIFFERS, path(disks[1], name), inspection.second().length,
                IntegrityReport.NOT_APPLICABLE, "an opening repairs it");
        }
    }

    private void repairCopies(SegmentInspection inspection) throws IOException {
        SegmentMerge merge = inspection.merge();
        String name = Format.segmentName(inspection.entry().id());
        boolean[] intact = {merge.isFirstIntact(), merge.isSecondIntact()};
        byte[][] copies = {inspection.first(), inspection.second()};
        for (int i = 0; i < disks.length; i++) {
            if (!intact[i]) {
                AtomicFile.replace(disks[i], name, name + FolderFiles.REPLACEMENT_SUFFIX, merge.image());
                report.addRepaired(path(disks[i], name), "from " + disks[1 - i].path() + ", had " + copies[i].length
                    + " bytes of " + merge.image().length);
            }
        }
    }

    private Manifest.Entry open(SegmentInspection inspection) throws IOException {
        Manifest.Entry entry = inspection.entry();
        SegmentHint hint = inspection.hint();
        load(hint);
        Segment segment = Segment.open(disks, entry, inspection.merge().image().length, hint.count());
        segments.put(entry.id(), segment);
        if (!entry.isSealed()) {
            active = segment;
            return entry;
        }
        return writeHint(segment, hint, entry.withHint(0, 0), entry);
    }

    /** Opens a sealed segment whose header and size match the manifest; reads and scrubs verify its records later. */
    private boolean openWithHint(Manifest.Entry entry, SegmentHint hint, boolean[] hintFilesIntact) throws IOException {
        for (Disk disk : disks) {
            if (!disk.exists(Format.segmentName(entry.id()))) {
                return false;
            }
        }
        Segment segment = Segment.open(disks, entry, entry.length(), entry.operations());
        if (segment.size(0) != entry.length() || segment.size(1) != entry.length()
            || !segment.hasHeader(manifest.store())) {
            segment.release();
            return false;
        }
        segments.put(entry.id(), segment);
        String name = Format.hintName(entry.id());
        for (int i = 0; i < disks.length; i++) {
            if (!hintFilesIntact[i]) {
                AtomicFile.replace(disks[i], name, name + FolderFiles.REPLACEMENT_SUFFIX, hint.bytes());
                report.addRepaired(path(disks[i], name), "hint");
            }
        }
        load(hint);
        return true;
    }

    private void load(SegmentHint hint) {
        loader.add(hint);
        lastSequence = Math.max(lastSequence, hint.lastSequence());
    }

    /** Writes the hint to each folder in which it is missing or differs, and returns the entry that lists it. */
    private Manifest.Entry writeHint(Segment segment, SegmentHint hint, Manifest.Entry entry, Manifest.Entry before)
        throws IOException {
        Manifest.Entry after = new Manifest.Entry(entry.id(), segment.length(), entry.firstSequence(), hint.count(),
            hint.bytes().length, hint.crc());
        String name = Format.hintName(entry.id());
        for (Disk disk : disks) {
            if (!Arrays.equals(hint.bytes(), AtomicFile.read(disk, name))) {
                AtomicFile.replace(disk, name, name + FolderFiles.REPLACEMENT_SUFFIX, hint.bytes());
                if (after.equals(before)) {
                    report.addRepaired(path(disk, name), "hint");
                }
            }
        }
        return after;
    }

    private void collectTableNames(SegmentMerge merge) {
        merge.forEachOperation(operation -> {
            byte[] key = operation.key();
            if (operation.kind() == Operation.PUT && Tables.isName(key)
                && operation.valueLength() == Tables.NUMBER_BYTES) {
                tableNames.put(Tables.numberOf(operation.value()), Tables.textOf(key));
            }
        });
    }

    /**
     * Copies the intact frames of a segment to a new one, followed by a {@link Format#CLEAN} commit marker. The old files
     * are deleted only after the manifests list the new segment. Returns null if there is nothing to copy.
     */
    private Manifest.Entry rewrite(SegmentMerge merge, Manifest.Entry entry) throws IOException {
        long id = nextId();
        if (merge.frames().stream().allMatch(frame -> frame.type() == Format.COMMIT_MARKER)) {
            return null;
        }
        for (Disk disk : disks) {
            disk.delete(Format.segmentName(id));     // left over from a recovery that crashed
        }
        Segment segment = Segment.create(disks, manifest.store(), id, entry.firstSequence());
        segments.put(id, segment);
        copyFrames(merge, segment);
        SegmentHint before = SegmentHint.of(manifest.store(), merge, entry.id());
        lastSequence = Math.max(lastSequence, before.lastSequence());
        FrameWriter out = new FrameWriter(BUFFER_BYTES);
        out.commitMarker(lastSequence, Math.max(now, manifest.time()), true, id, segment.length());
        segment.append(out.bytes(), 0);
        segment.sync();
        Manifest.Entry after = entry.isSealed() ? segment.sealedEntry() : segment.activeEntry();
        SegmentHint hint = SegmentHint.of(manifest.store(),
            new SegmentMerge(segment.copy(0), segment.copy(1), manifest.store(), after), id);
        load(hint);
        if (!entry.isSealed()) {
            active = segment;
            return after;
        }
        return writeHint(segment, hint, after, null);
    }

    private static void copyFrames(SegmentMerge merge, Segment to) throws IOException {
        FrameWriter out = new FrameWriter(BUFFER_BYTES);
        for (SegmentMerge.Frame frame : merge.frames()) {
            if (frame.type() != Format.COMMIT_MARKER) {
                out.clear();
                out.copy(merge.image(), frame, to.id(), to.length());
                to.append(out.bytes(), merge.operations(frame).size());
            }
        }
    }

    private long nextId() {
        lastNewId = Math.max(lastNewId + 1, manifest.nextSegment());
        return lastNewId;
    }

    private static String path(Disk disk, String name) {
        return disk.path() + "/" + name;
    }
}
