package kelphollow.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The append-only log: the active segment, the manifest, the index editor, and the usage of each segment. Encodes batches
 * as frames, appends them to both copies, syncs, rotates segments and installs compacted ones. Confined to the thread of
 * {@link Writer}. After the first exception only {@link #stopThreads} may be called, since the contents of the disk are
 * unknown.
 */
final class CommitLog {
    private static final int BUFFER_BYTES = 64 * 1024;
    /** Number of copies of each file. */
    private static final long COPIES = 2;

    private record Change(byte kind, byte[] key, Index.Location location) {}

    private final SegmentSet segments;
    private final StoreOptions options;
    private final StoreClock clock;
    private final Tables tables;
    private final SegmentUsage usage;
    private final IndexEditor editor;
    private final Runnable segmentSealed;
    /** Syncs the second copy in parallel with the first; null with {@link StoreOptions#inline}, which uses no threads. */
    private final ExecutorService secondCopy;
    private final FrameWriter out = new FrameWriter(BUFFER_BYTES);
    /** Index changes of the operations in {@link #out}, applied when the buffer is flushed. */
    private final List<Change> pending = new ArrayList<>();
    private Manifest manifest;
    private Segment active;
    private long nextSegment;
    private long time;
    private long sequence;
    private long syncedUpTo;
    /** Sequence that the last commit marker records as synced. */
    private long markedUpTo;
    /** Whether the active segment ends with a {@link Format#CLEAN} marker, which says that no later frame is missing. */
    private boolean clean = true;
    private boolean unsynced;
    private long writtenBytes;
    private long payloadBytes;
    private long syncs;

    /** Runs {@code segmentSealed} after a rotation if there is a sealed segment to compact. */
    CommitLog(SegmentSet segments, StoreOpener.Recovered recovered, Tables tables, StoreOptions options, StoreClock clock,
        Runnable segmentSealed) {
        this.segments = segments;
        this.options = options;
        this.clock = clock;
        this.tables = tables;
        this.segmentSealed = segmentSealed;
        this.usage = recovered.usage();
        this.manifest = recovered.manifest();
        this.active = recovered.active();
        this.editor = new IndexEditor(recovered.index());
        this.sequence = recovered.lastSequence();
        this.syncedUpTo = sequence;
        this.markedUpTo = sequence;
        this.time = recovered.time();
        this.nextSegment = manifest.nextSegment();
        this.secondCopy = options.inline() ? null : Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "store-second");
            thread.setDaemon(true);
            return thread;
        });
    }

    // ---------------------------------------------------------------- appending

    /** Begins a group commit and reads the clock; commit markers and manifests record this time. */
    void beginGroup() {
        time = clock.getAsLong();
    }

    /** Publishes the flushed changes to readers. */
    void publish() {
        segments.publish(editor.publish());
    }

    /** Whether data was flushed since the last sync. */
    boolean isUnsynced() {
        return unsynced;
    }

    /** Encodes a batch into the buffer. Flushes and rotates first if it does not fit into the active segment. */
    void append(Batch batch) throws IOException {
        List<Batch.Change> changes = batch.changes();
        List<String> newTables = tables.missing(changes);
        long bytes = batch.bytes();
        for (String name : newTables) {
            bytes += Operation.lengthOf(Tables.NUMBER_BYTES + name.getBytes(StandardCharsets.UTF_8).length,
                Tables.NUMBER_BYTES);
        }
        rotateIfFull(bytes);
        if (syncedUpTo > markedUpTo && out.isEmpty()) {
            writeMarker(false);
        }
        sequence++;
        int frame = out.begin(bytes - Format.FRAME_HEADER_BYTES);
        for (String name : newTables) {
            addOperation(Operation.PUT, Tables.nameKey(name), tables.add(name), 0);
        }
        for (Batch.Change change : changes) {
            add(change);
        }
        out.end(frame, Format.BATCH, sequence, active.id(), active.length() + frame);
    }

    private void rotateIfFull(long bytes) throws IOException {
        if (active == null) {
            rotate();
        } else if (active.length() + out.length() + bytes > options.segmentBytes()
            && (!active.isEmpty() || !pending.isEmpty())) {
            flush();
            rotate();
        }
    }

    private void add(Batch.Change change) {
        byte[] key = tables.key(change.table(), change.key());
        if (change.isPut()) {
            addOperation(Operation.PUT, key, change.value(), change.expiresAt());
            payloadBytes += change.value().length;
        } else {
            addOperation(Operation.TOMBSTONE, key, new byte[0], 0);
        }
        payloadBytes += change.key().length;
    }

    private void addOperation(byte kind, byte[] key, byte[] value, long expiresAt) {
        int at = out.operation(kind, key, value, sequence, expiresAt);
        pending.add(new Change(kind, key, new Index.Location((int) active.id(), (int) active.length() + at,
            Operation.lengthOf(key.length, value.length), sequence, expiresAt)));
    }

    private void writeMarker(boolean closed) {
        out.commitMarker(syncedUpTo, time, closed, active.id(), active.length() + out.length());
        markedUpTo = syncedUpTo;
    }

    /** Writes the buffer to both copies and applies its changes to the index; readers see them after {@link #publish}. */
    void flush() throws IOException {
        if (out.isEmpty()) {
            return;
        }
        clean = false;
        unsynced = true;
        writtenBytes += COPIES * out.length();
        active.append(out.bytes(), pending.size());
        out.clear();
        for (Change change : pending) {
            Index.Location location = change.location;
            if (change.kind == Operation.PUT) {
                usage.addDead(editor.put(change.key, location));
                usage.addLive(location.segment(), location.length());
            } else {
                usage.addDead(editor.remove(change.key));
                usage.addTombstones(location.segment(), location.length());
            }
        }
        pending.clear();
        usage.setSegment(active.id(), active.firstSequence(), active.length(), false);
    }

    /** Syncs all flushed data in both copies; blocks on the disks. */
    void sync() throws IOException {
        if (secondCopy == null) {
            active.sync();
        } else {
            active.sync(secondCopy);
        }
        syncs++;
        unsynced = false;
        syncedUpTo = sequence;
    }

    /** Appends a commit marker if batches were synced since the last one. The marker itself is not synced. */
    void writeMarkerIfDue() throws IOException {
        if (syncedUpTo > markedUpTo) {
            writeMarker(false);
            flush();
        }
    }

    /** Syncs the remaining data and appends a {@link Format#CLEAN} marker, which says that no later frame is missing. */
    void close() throws IOException {
        if (active != null && !clean) {
            sync();
            writeMarker(true);
            flush();
            active.sync();
        }
    }

    /** Stops the thread that syncs the second copy; allowed after a failure too. */
    void stopThreads() {
        if (secondCopy != null) {
            secondCopy.shutdown();
        }
    }

    // ---------------------------------------------------------------- segments and manifest

    /** Seals the active segment and creates the next one. Both manifests list it before any frame is appended to it. */
    private void rotate() throws IOException {
        List<Manifest.Entry> entries = new ArrayList<>(manifest.segments());
        if (active != null) {
            sync();
            entries.removeIf(entry -> entry.id() == active.id());
            entries.add(active.sealedEntry());
            usage.setSegment(active.id(), active.firstSequence(), active.length(), true);
        }
        Segment next = Segment.create(segments.disks(), manifest.store(), newSegment(), sequence + 1);
        entries.add(next.activeEntry());
        installManifest(entries);
        writtenBytes += COPIES * next.length();
        usage.setSegment(next.id(), next.firstSequence(), next.length(), false);
        active = next;
        segments.add(next);
        if (entries.size() > 1) {
            segmentSealed.run();
        }
    }

    /** Replaces the manifest in both folders by one that lists these segments. */
    private void installManifest(List<Manifest.Entry> entries) throws IOException {
        manifest = new Manifest(manifest.store(), manifest.generation() + 1, nextSegment, sequence + 1,
            time, List.copyOf(entries));
        manifest.replace(segments.disks());
    }

    // ---------------------------------------------------------------- called for the compactor

    /** Allocates the id of a new segment. */
    long newSegment() {
        return nextSegment++;
    }

    /** The current manifest. */
    Manifest manifest() {
        return manifest;
    }

    /** The usage of each segment. */
    SegmentUsage usage() {
        return usage;
    }

    /** Current time of the store's clock, in Unix milliseconds. */
    long time() {
        return clock.getAsLong();
    }

    /** Records the hint of a sealed segment in the manifest. */
    void installHint(long segment, SegmentHint hint) throws IOException {
        List<Manifest.Entry> entries = new ArrayList<>(manifest.segments());
        entries.replaceAll(entry -> entry.id() == segment ? entry.withHint(hint.bytes().length, hint.crc()) : entry);
        installManifest(entries);
    }

    /** Replaces segments by their compacted output. Keys written since the compaction began keep their new locations. */
    void replace(List<Long> replaced, CompactionOutput output) throws IOException {
        if (unsynced) {
            sync();          // the write that overwrote a value must be durable before the value is dropped
        }
        List<Manifest.Entry> entries = new ArrayList<>(manifest.segments());
        entries.removeIf(entry -> replaced.contains(entry.id()));
        entries.addAll(0, output.entries());
        installManifest(entries);
        for (Manifest.Entry entry : output.entries()) {
            usage.setSegment(entry.id(), entry.firstSequence(), entry.length(), true);
            usage.addTombstones(entry.id(), output.tombstoneBytes(entry.id()));
            writtenBytes += COPIES * entry.length();
        }
        output.segments().forEach(segments::add);
        relocate(output.keys(), output.relocated());
        replaced.forEach(usage::remove);
        publish();
        replaced.forEach(segments::retire);
    }

    private void relocate(List<byte[]> keys, Map<Index.Location, Index.Location> relocated) {
        for (byte[] key : keys) {
            Index.Location before = editor.get(key);
            Index.Location after = before == null ? null : relocated.get(before);
            if (after != null) {
                editor.put(key, after);
                usage.addLive(after.segment(), after.length());
            }
        }
    }

    /** Removes those of the keys that are still expired, since one may have been rewritten; returns their number. */
    int expire(List<byte[]> keys) throws IOException {
        time = time();
        Batch batch = new Batch();
        for (byte[] key : keys) {
            Index.Location location = editor.get(key);
            if (location != null && location.isExpired(time)) {
                batch.remove(tables.name(key), Tables.keyOf(key));
            }
        }
        int count = batch.changes().size();
        if (count > 0) {
            append(batch);
            flush();
            publish();
        }
        return count;
    }

    /** The current counters. */
    Store.Stats stats() {
        return new Store.Stats(editor.size(), usage.segments(), usage.length(), usage.live(), writtenBytes, payloadBytes,
            syncs, syncedUpTo);
    }
}
