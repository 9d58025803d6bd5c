package kelphollow.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Recovery: from two folders, in whatever state a crash or a fault has left them, to one state in both. The order:
 * the manifest of the higher generation is put in both folders; each segment is made whole from its two copies; files
 * that it does not name are deleted; the index is built; a segment that was being written to is written anew, so that
 * none is ever appended to behind a failed sync or a torn end. Running it again changes nothing, and so does a crash
 * at any step of it.
 */
final class StoreOpener {
    /** What an opening gives the store. {@code active} is null until something is written. */
    record State(StoreId id, Manifest manifest, Index index, Map<Long, Segment> segments, Segment active,
                 long lastSequence, long time, SegmentUsage space, Report report) {}

    /** What to do about damage of both copies. */
    enum Loss { REFUSE, ACCEPT, LOOK }

    private final Disk[] disks;
    private final StoreOptions options;
    private final long now;
    private final Loss loss;
    private final Progress progress;
    private final Report report = new Report();
    /** Names of tables, as far as they are seen in passing. */
    private final Map<Integer, String> names = new HashMap<>();
    private final Map<Long, int[]> sizes = new HashMap<>();
    private final Map<Long, Segment> segments = new HashMap<>();
    private final IndexLoader loader = new IndexLoader();
    private Manifest manifest;
    private long lastSequence, time;
    private Segment active;

    private StoreOpener(Disk[] disks, StoreOptions options, long now, Loss loss, Progress progress) {
        this.progress = progress;
        this.disks = disks;
        this.options = options;
        this.now = now;
        this.loss = loss;
    }

    /** Opens what is there, or makes a new store of two empty folders. */
    static State open(Disk[] disks, StoreOptions options, long now, Loss loss, Progress progress)
        throws IOException, StoreFault {
        StoreOpener opening = new StoreOpener(disks, options, now, loss, progress);
        try {
            return opening.run();
        } catch (IOException | StoreFault e) {
            opening.segments.values().forEach(Segment::release);
            throw e;
        }
    }

    /** Looks at everything, changes nothing. */
    static Inspection look(Disk[] disks, StoreOptions options, Progress progress) throws IOException, StoreFault {
        StoreOpener opening = new StoreOpener(disks, options.withCheckAll(true), 0, Loss.LOOK, progress);
        opening.manifest = opening.manifests().recover();
        opening.segments();
        return opening.inspection();
    }

    private Inspection inspection() {
        Map<String, Integer> tables = new java.util.TreeMap<>();
        loader.build().walk(new byte[0], (key, place) -> {
            if (!Tables.isName(key)) {
                tables.merge(names.getOrDefault(Format.int16(key, 0), "?"), 1, Integer::sum);
            }
            return true;
        });
        Map<Long, Long> live = loader.live();
        List<Inspection.SegmentLine> lines = new ArrayList<>();
        long length = 0;
        for (Manifest.Entry e : manifest.segments()) {
            int[] size = sizes.get(e.id());
            lines.add(new Inspection.SegmentLine(e.id(), size[0], size[1], live.getOrDefault(e.id(), 0L), e.isSealed(),
                e.hintLength() > 0));
            length += size[0];
        }
        return new Inspection(manifest.store().toString(), manifest.generation(), Math.max(time, manifest.time()),
            Math.max(lastSequence, manifest.nextSequence() - 1), length,
            live.values().stream().mapToLong(x -> x).sum(), lines, tables, report);
    }

    private ManifestRecovery manifests() {
        return new ManifestRecovery(disks, now, loss, report);
    }

    private boolean mayChange() {
        return loss != Loss.LOOK;
    }

    private State run() throws IOException, StoreFault {
        manifest = manifests().recover();
        segments();
        if (loss == Loss.REFUSE && report.isDamaged()) {
            throw new StoreFault(StoreFault.Kind.DAMAGED, report.firstDamage());
        }
        FolderFiles.deleteUnnamed(disks, manifest);
        return new State(manifest.store(), manifest, loader.build(), segments, active,
            Math.max(lastSequence, manifest.nextSequence() - 1), Math.max(time, manifest.time()), space(), report);
    }

    /** What is live in each segment, now that all are known. */
    private SegmentUsage space() {
        SegmentUsage space = new SegmentUsage();
        for (Manifest.Entry e : manifest.segments()) {
            Segment segment = segments.get(e.id());
            space.segment(e.id(), e.firstSequence(), segment.length(), e.isSealed());
            space.removal(e.id(), loader.removals().getOrDefault(e.id(), 0L));
            space.live(e.id(), loader.live().getOrDefault(e.id(), 0L));
        }
        return space;
    }

    // ---------------------------------------------------------------- segments

    private void segments() throws IOException, StoreFault {
        List<Manifest.Entry> entries = new ArrayList<>();
        boolean changed = false;
        List<Manifest.Entry> all = manifest.segments();
        for (int from = 0; from < all.size();) {
            List<SegmentInspection> looks = SegmentInspection.several(disks, manifest.store(), all, from, !options
                .checkAll());
            for (SegmentInspection look : looks) {
                Manifest.Entry after = segment(look);
                progress.at(++from, all.size());
                if (after != null) {
                    entries.add(after);
                }
                changed |= !look.entry().equals(after);
            }
        }
        if (changed && mayChange() && (loss == Loss.ACCEPT || !report.isDamaged())) {
            long next = Math.max(manifest.nextSegment(), entries.stream().mapToLong(e -> e.id() + 1).max().orElse(0));
            manifest = new Manifest(manifest.store(), manifest.generation() + 1, next,
                Math.max(manifest.nextSequence(), lastSequence + 1), Math.max(manifest.time(), now), entries);
            manifest.replace(disks);
        }
    }

    /** Takes one segment into the index; gives its entry as it is from now on, or null if nothing of it is left. */
    private Manifest.Entry segment(SegmentInspection look) throws IOException, StoreFault {
        Manifest.Entry entry = look.entry();
        if (look.isByHint() && byHint(entry, look.hint(), look.hintIsWhole())) {
            return entry;
        }
        look.readBoth(disks, manifest.store());
        String name = Format.segmentName(entry.id());
        byte[] a = look.a(), b = look.b();
        SegmentMerge merge = look.merge();
        boolean whole = merge.damages().isEmpty() && merge.image().length >= Format.SEGMENT_HEADER;
        for (SegmentMerge.Damage d : merge.damages()) {
            report.damaged(path(disks[0], name), d.at(), d.sequence(), "to offset " + d.end()
                + ", and the same in " + disks[1].place());
        }
        if (merge.torn() > 0) {
            report.add("torn", path(disks[0], name), merge.image().length, merge.lastSequence() + 1,
                merge.torn() + " bytes that were never acknowledged as safe");
        }
        lastSequence = Math.max(lastSequence, merge.lastSequence());
        time = Math.max(time, merge.time());
        if (!mayChange()) {
            tell(merge, a, b, name);
            names(merge);
            take(look.hint());
            sizes.put(entry.id(), new int[] {merge.image().length, look.hint().count()});
            return entry;
        }
        if (!whole && loss == Loss.REFUSE) {
            return entry;
        }
        if (!whole || !entry.isSealed() && !merge.isClean()) {
            return writeAnew(merge, entry);
        }
        repair(merge, a, b, name);
        take(look.hint());
        Segment segment = Segment.open(disks, entry, merge.image().length, look.hint().count());
        segments.put(entry.id(), segment);
        if (!entry.isSealed()) {
            active = segment;
            return entry;
        }
        return hint(segment, look.hint(), entry.withHint(0, 0), entry);
    }

    private void tell(SegmentMerge merge, byte[] a, byte[] b, String name) {
        if (!merge.isWholeInA() && merge.torn() == 0) {
            report.add("differs", path(disks[0], name), a.length, -1, "an opening repairs it");
        }
        if (!merge.isWholeInB() && merge.torn() == 0) {
            report.add("differs", path(disks[1], name), b.length, -1, "an opening repairs it");
        }
    }

    private void repair(SegmentMerge merge, byte[] a, byte[] b, String name) throws IOException {
        boolean[] whole = {merge.isWholeInA(), merge.isWholeInB()};
        for (int i = 0; i < 2; i++) {
            if (!whole[i]) {
                AtomicFile.replace(disks[i], name, name + FolderFiles.REPLACEMENT, merge.image());
                report.repaired(path(disks[i], name), "from " + disks[1 - i].place() + ", had "
                    + (i == 0 ? a : b).length + " bytes of " + merge.image().length);
            }
        }
    }

    /** Sealed segments are known by their hint and their size; what is in them is checked as it is read, and by scrubbing. */
    private boolean byHint(Manifest.Entry entry, SegmentHint hint, boolean[] whole) throws IOException {
        for (Disk disk : disks) {
            if (!disk.has(Format.segmentName(entry.id()))) {
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
            if (!whole[i]) {
                AtomicFile.replace(disks[i], name, name + FolderFiles.REPLACEMENT, hint.bytes());
                report.repaired(path(disks[i], name), "hint");
            }
        }
        take(hint);
        return true;
    }

    private void take(SegmentHint hint) {
        loader.add(hint);
        lastSequence = Math.max(lastSequence, hint.lastSequence());
    }

    /** Both folders get the hint that the manifest will name. */
    private Manifest.Entry hint(Segment segment, SegmentHint hint, Manifest.Entry entry, Manifest.Entry before)
        throws IOException {
        Manifest.Entry after = new Manifest.Entry(entry.id(), segment.length(), entry.firstSequence(), hint.count(),
            hint.bytes().length, hint.crc());
        String name = Format.hintName(entry.id());
        for (Disk disk : disks) {
            if (!java.util.Arrays.equals(hint.bytes(), AtomicFile.read(disk, name))) {
                AtomicFile.replace(disk, name, name + FolderFiles.REPLACEMENT, hint.bytes());
                if (after.equals(before)) {
                    report.repaired(path(disk, name), "hint");
                }
            }
        }
        return after;
    }

    /** Remembers the names of tables that were given in this segment. */
    private void names(SegmentMerge merge) {
        for (SegmentMerge.Frame frame : merge.frames()) {
            SegmentMerge.ops(merge.image(), frame, op -> {
                byte[] key = op.key();
                if (op.kind() == Format.PUT && Tables.isName(key) && op.valueLength() == 2) {
                    names.put(Format.int16(op.value(), 0), Tables.textOf(key));
                }
            });
        }
    }

    /**
     * A segment that was being written to, or that is damaged, is written anew under the next number: what is whole in
     * it, and a commit marker that says so. Its old files go only when the manifests name the new one.
     */
    private Manifest.Entry writeAnew(SegmentMerge merge, Manifest.Entry entry) throws IOException {
        long id = nextId();
        boolean hasOps = merge.frames().stream().anyMatch(f -> f.type() != Format.COMMIT_MARKER);
        if (!hasOps) {
            return null;
        }
        for (Disk disk : disks) {
            disk.delete(Format.segmentName(id));     // left by a recovery that was cut off
        }
        Segment segment = Segment.create(disks, manifest.store(), id, entry.firstSequence());
        segments.put(id, segment);
        FrameWriter out = new FrameWriter(64 * 1024);
        for (SegmentMerge.Frame frame : merge.frames()) {
            if (frame.type() != Format.COMMIT_MARKER) {
                int[] ops = new int[1];
                SegmentMerge.ops(merge.image(), frame, op -> ops[0]++);
                out.clear();
                out.copy(merge.image(), frame, id, segment.length());
                segment.append(out.bytes(), ops[0]);
            }
        }
        SegmentHint before = SegmentHint.of(manifest.store(), merge, entry.id());
        lastSequence = Math.max(lastSequence, before.lastSequence());
        out.clear();
        out.commitMarker(lastSequence, Math.max(now, manifest.time()), true, id, segment.length());
        segment.append(out.bytes(), 0);
        segment.sync();
        Manifest.Entry after = entry.isSealed() ? segment.sealed() : segment.active();
        SegmentHint hint = SegmentHint.of(manifest.store(),
            new SegmentMerge(segment.copy(0), segment.copy(1), manifest.store(), after), id);
        take(hint);
        if (!entry.isSealed()) {
            active = segment;
            return after;
        }
        return hint(segment, hint, after, null);
    }

    private long reserved;

    private long nextId() {
        reserved = Math.max(reserved + 1, manifest.nextSegment());
        return reserved;
    }

    private static String path(Disk disk, String name) {
        return disk.place() + "/" + name;
    }
}
