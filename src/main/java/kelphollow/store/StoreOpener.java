package kelphollow.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Recovers the store from two folders in any state that a crash or a fault leaves behind, and makes both equal. Steps, in
 * this order: writes the manifest of the higher generation to both folders; recovers each segment from its two copies;
 * deletes files that the manifest does not list; builds the index. Idempotent, even if a step crashes. Confined to the
 * thread that opens the store.
 */
final class StoreOpener {
    /** The recovered state. {@code active} is null if there is no active segment; {@code time} is in Unix milliseconds. */
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

    /** Recovers an existing store, or creates a new one in two empty folders. */
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

    /** Verifies all files without changing anything. */
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
            replaceManifest(remaining);
        }
    }

    private void replaceManifest(List<Manifest.Entry> entries) throws IOException {
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

    /** Computes the usage of each segment; requires a built index. */
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
        List<Inspection.SegmentSummary> summaries = new ArrayList<>();
        long length = 0;
        for (Manifest.Entry entry : manifest.segments()) {
            SegmentRecovery.Size size = recovery.size(entry.id());
            summaries.add(new Inspection.SegmentSummary(entry.id(), size.bytes(), size.operations(),
                live.getOrDefault(entry.id(), 0L), entry.isSealed(), entry.hintLength() > 0));
            length += size.bytes();
        }
        long totalLive = live.values().stream().mapToLong(Long::longValue).sum();
        return new Inspection(manifest.store().toString(), manifest.generation(), time(), lastSequence(), length,
            totalLive, summaries, tables, report);
    }
}
