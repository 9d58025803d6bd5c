package kelphollow.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Recovery: from two folders, in whatever state a crash or a fault has left them, to one state in both. In this order: the
 * manifest of the higher generation is put in both folders; each segment is recovered from its two copies; files that it
 * does not name are deleted; the index is built. Idempotent, also after a crash at any step. Confined to the thread that
 * opens the store.
 */
final class StoreOpener {
    /** The recovered state. {@code active} is null until something is written, {@code time} in Unix milliseconds. */
    record Recovered(StoreId storeId, Manifest manifest, Index index, Map<Long, Segment> segments, Segment active,
                     long lastSequence, long time, SegmentUsage usage, IntegrityReport report) {}

    private static final String UNKNOWN_TABLE = "?";

    private final Disk[] disks;
    private final StoreOptions options;
    private final long now;
    private final RecoveryMode mode;
    private final ProgressListener progress;
    private final IntegrityReport report = new IntegrityReport();
    private final Map<Long, Segment> segments = new HashMap<>();
    private Manifest manifest;
    private SegmentRecovery recovery;

    private StoreOpener(Disk[] disks, StoreOptions options, long now, RecoveryMode mode, ProgressListener progress) {
        this.disks = disks;
        this.options = options;
        this.now = now;
        this.mode = mode;
        this.progress = progress;
    }

    /** Opens what is there, or creates a new store in two empty folders. */
    static Recovered open(Disk[] disks, StoreOptions options, long now, RecoveryMode mode, ProgressListener progress)
        throws IOException, StoreFault {
        StoreOpener opener = new StoreOpener(disks, options, now, mode, progress);
        try {
            return opener.recover();
        } catch (IOException | StoreFault e) {
            opener.segments.values().forEach(Segment::release);
            throw e;
        }
    }

    /** Reads everything and changes nothing. */
    static Inspection inspect(Disk[] disks, StoreOptions options, ProgressListener progress)
        throws IOException, StoreFault {
        StoreOpener opener = new StoreOpener(disks, options.withCheckAll(true), 0, RecoveryMode.INSPECT, progress);
        opener.recoverManifest();
        opener.recoverSegments();
        return opener.inspection();
    }

    private Recovered recover() throws IOException, StoreFault {
        recoverManifest();
        recoverSegments();
        if (mode == RecoveryMode.REJECT_LOSS && report.isDamaged()) {
            throw new StoreFault(StoreFault.Kind.DAMAGED, report.firstDamage());
        }
        FolderFiles.deleteUnlisted(disks, manifest);
        Index index = recovery.loader().build();
        return new Recovered(manifest.store(), manifest, index, segments, recovery.active(), lastSequence(), time(),
            usage(), report);
    }

    private void recoverManifest() throws IOException, StoreFault {
        manifest = new ManifestRecovery(disks, now, mode, report).recover();
        recovery = new SegmentRecovery(disks, manifest, now, mode, report, segments);
    }

    private void recoverSegments() throws IOException, StoreFault {
        List<Manifest.Entry> remaining = new ArrayList<>();
        boolean changed = false;
        List<Manifest.Entry> all = manifest.segments();
        int done = 0;
        while (done < all.size()) {
            List<SegmentInspection> inspected =
                SegmentInspection.readFrom(done, all, disks, manifest.store(), !options.checkAll());
            for (SegmentInspection inspection : inspected) {
                Manifest.Entry after = recovery.recover(inspection);
                done++;
                progress.progressed(done, all.size());
                if (after != null) {
                    remaining.add(after);
                }
                changed |= !inspection.entry().equals(after);
            }
        }
        if (changed && mode != RecoveryMode.INSPECT && (mode == RecoveryMode.ACCEPT_LOSS || !report.isDamaged())) {
            adopt(remaining);
        }
    }

    private void adopt(List<Manifest.Entry> entries) throws IOException {
        long highest = entries.stream().mapToLong(entry -> entry.id() + 1).max().orElse(0);
        manifest = new Manifest(manifest.store(), manifest.generation() + 1, Math.max(manifest.nextSegment(), highest),
            Math.max(manifest.nextSequence(), recovery.lastSequence() + 1), Math.max(manifest.time(), now), entries);
        manifest.replace(disks);
    }

    private long lastSequence() {
        return Math.max(recovery.lastSequence(), manifest.nextSequence() - 1);
    }

    private long time() {
        return Math.max(recovery.time(), manifest.time());
    }

    /** The usage of each segment, now that all are known and the index is built. */
    private SegmentUsage usage() {
        SegmentUsage usage = new SegmentUsage();
        IndexLoader loader = recovery.loader();
        for (Manifest.Entry entry : manifest.segments()) {
            Segment segment = segments.get(entry.id());
            usage.setSegment(entry.id(), entry.firstSequence(), segment.length(), entry.isSealed());
            usage.addTombstones(entry.id(), loader.tombstoneBytes().getOrDefault(entry.id(), 0L));
            usage.addLive(entry.id(), loader.liveBytes().getOrDefault(entry.id(), 0L));
        }
        return usage;
    }

    private Inspection inspection() {
        Map<String, Integer> tables = new TreeMap<>();
        Map<Integer, String> tableNames = recovery.tableNames();
        for (Index.Entry entry : recovery.loader().build().entriesFrom(new byte[0])) {
            if (!Tables.isName(entry.key())) {
                tables.merge(tableNames.getOrDefault(Tables.numberOf(entry.key()), UNKNOWN_TABLE), 1, Integer::sum);
            }
        }
        Map<Long, Long> live = recovery.loader().liveBytes();
        List<Inspection.SegmentSummary> lines = new ArrayList<>();
        long length = 0;
        for (Manifest.Entry entry : manifest.segments()) {
            SegmentRecovery.Size size = recovery.size(entry.id());
            lines.add(new Inspection.SegmentSummary(entry.id(), size.bytes(), size.operations(),
                live.getOrDefault(entry.id(), 0L), entry.isSealed(), entry.hintLength() > 0));
            length += size.bytes();
        }
        long totalLive = live.values().stream().mapToLong(Long::longValue).sum();
        return new Inspection(manifest.store().toString(), manifest.generation(), time(), lastSequence(), length,
            totalLive, lines, tables, report);
    }
}
