package kelphollow.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.function.LongSupplier;

/**
 * The append-only log as it is written: the active segment, the manifest, the editor of the index, and the space that
 * each segment holds. Puts batches into frames, writes them to both copies, syncs, rotates segments and puts compacted
 * ones in force. No locks: only the thread of {@link Writer} calls it, between or within its groups. After the first
 * exception nothing may be called any more, since nobody knows what the disk holds.
 */
final class CommitLog {
    private record Change(byte kind, byte[] key, Index.Place place) {}

    private final Store store;
    private final StoreOptions options;
    private final LongSupplier clock;
    /** Where the second copy is synced, on a thread of its own; null where all is done in the caller's thread. */
    private final ExecutorService second;
    private Manifest manifest;
    private Segment active;
    private final Index.Editor editor;
    private final SegmentUsage space;
    private final Tables tables;
    private final FrameWriter out = new FrameWriter(64 * 1024);
    private final List<Change> pending = new ArrayList<>();
    private int pendingOps;
    private long sequence, safeTo, markerCovers, time, nextSegment;
    /** Whether the last frame of the active segment says that nothing is missing behind it. */
    private boolean clean = true;
    private boolean unsynced;
    private long written, payload, syncs;

    CommitLog(Store store, StoreOpener.State state, Tables tables, SegmentUsage space, StoreOptions options,
        LongSupplier clock,
        ExecutorService second) {
        this.store = store;
        this.options = options;
        this.second = second;
        this.clock = clock;
        this.tables = tables;
        this.space = space;
        this.manifest = state.manifest();
        this.active = state.active();
        this.editor = new Index.Editor(state.index());
        this.sequence = this.safeTo = this.markerCovers = state.lastSequence();
        this.time = state.time();
        this.nextSegment = manifest.nextSegment();
    }

    // ---------------------------------------------------------------- appending

    /** Begins a group: its batches carry the clock's time as it is now. */
    void beginGroup() {
        time = clock.getAsLong();
    }

    /** Makes what was flushed visible to readers. */
    void publish() {
        store.publish(editor.publish());
    }

    /** Whether something was written since the last sync. */
    boolean isUnsynced() {
        return unsynced;
    }

    /** Adds a batch to what is to be written, in the segment that has room for it. */
    void append(Batch batch) throws IOException {
        List<Batch.Change> changes = batch.changes();
        List<String> names = tables.missing(changes);
        long bytes = batch.bytes();
        for (String name : names) {
            bytes += Format.opLength(2 + name.getBytes(StandardCharsets.UTF_8).length, 2);
        }
        if (active == null) {
            rotate();
        } else if (active.length() + out.length() + bytes > options.segmentBytes()
            && (!active.isEmpty() || pendingOps > 0)) {
            flush();
            rotate();
        }
        if (safeTo > markerCovers && out.isEmpty()) {
            writeMarker(false);
        }
        sequence++;
        int frame = out.begin(bytes - Format.FRAME_HEAD);
        for (String name : names) {
            op(Format.PUT, Tables.nameKey(name), tables.add(name), 0);
        }
        for (Batch.Change c : changes) {
            byte[] key = tables.key(c.table(), c.key());
            if (c.isPut()) {
                op(Format.PUT, key, c.value(), c.expires());
            } else {
                op(Format.REMOVE, key, new byte[0], 0);
            }
            payload += c.key().length + (c.isPut() ? c.value().length : 0);
        }
        out.end(frame, Format.BATCH, sequence, active.id(), active.length() + frame);
    }

    private void op(byte kind, byte[] key, byte[] value, long expires) {
        int at = out.op(kind, key, value, sequence, expires);
        pendingOps++;
        pending.add(new Change(kind, key, new Index.Place((int) active.id(), (int) active.length() + at,
            Format.opLength(key.length, value.length), sequence, expires)));
    }

    private void writeMarker(boolean closed) {
        out.commitMarker(safeTo, time, closed, active.id(), active.length() + out.length());
        markerCovers = safeTo;
    }

    /** Writes to both copies and then changes the index, which nobody sees before it is published. */
    void flush() throws IOException {
        if (out.isEmpty()) {
            return;
        }
        clean = false;
        unsynced = true;
        written += 2L * out.length();
        active.append(out.bytes(), pendingOps);
        out.clear();
        for (Change c : pending) {
            if (c.kind == Format.PUT) {
                space.dead(editor.put(c.key, c.place));
                space.live(c.place.segment(), c.place.length());
            } else {
                space.dead(editor.remove(c.key));
                space.removal(c.place.segment(), c.place.length());
            }
        }
        pending.clear();
        pendingOps = 0;
        space.segment(active.id(), active.firstSequence(), active.length(), false);
    }

    /** Makes all that was flushed safe in both copies; waits for the disks. */
    void sync() throws IOException {
        if (second == null) {
            active.sync();
        } else {
            active.sync(second);
        }
        syncs++;
        unsynced = false;
        safeTo = sequence;
    }

    /** Says that what was synced is safe, unless a commit marker says so already; needs no sync of its own. */
    void writeMarkerIfDue() throws IOException {
        if (safeTo > markerCovers) {
            writeMarker(false);
            flush();
        }
    }

    /** Syncs what is left and says that nothing is missing behind it; an orderly end. */
    void close() throws IOException {
        if (active != null && !clean) {
            sync();
            writeMarker(true);
            flush();
            active.sync();
        }
    }

    // ---------------------------------------------------------------- segments and manifest

    /** Seals the active segment and begins the next; both manifests name it before anything is written to it. */
    private void rotate() throws IOException {
        List<Manifest.Entry> entries = new ArrayList<>(manifest.segments());
        if (active != null) {
            sync();
            entries.removeIf(e -> e.id() == active.id());
            entries.add(active.sealed());
            space.segment(active.id(), active.firstSequence(), active.length(), true);
        }
        Segment next = Segment.create(store.disks(), manifest.store(), newSegment(), sequence + 1);
        entries.add(next.active());
        adopt(entries);
        written += 2L * next.length();
        space.segment(next.id(), next.firstSequence(), next.length(), false);
        active = next;
        store.begun(next);
        if (entries.size() > 1) {
            store.wakeCompactor();
        }
    }

    /** Puts a list of segments in force. */
    private void adopt(List<Manifest.Entry> entries) throws IOException {
        manifest = new Manifest(manifest.store(), manifest.generation() + 1, nextSegment, sequence + 1,
            time, List.copyOf(entries));
        manifest.replace(store.disks());
    }

    // ---------------------------------------------------------------- for compaction, in tasks

    /** A number for a segment that compaction writes. */
    long newSegment() {
        return nextSegment++;
    }

    /** The manifest in force. */
    Manifest manifest() {
        return manifest;
    }

    /** What is live in each segment. */
    SegmentUsage space() {
        return space;
    }

    /** Unix milliseconds, as the store's clock shows them. */
    long time() {
        return clock.getAsLong();
    }

    /** Names the hint of a sealed segment. */
    void hint(long segment, int length, int crc) throws IOException {
        List<Manifest.Entry> entries = new ArrayList<>(manifest.segments());
        entries.replaceAll(e -> e.id() == segment ? e.withHint(length, crc) : e);
        adopt(entries);
    }

    /** Puts compacted segments in the place of others. Values that have changed meanwhile stay where they are. */
    void replace(List<Long> victims, List<Manifest.Entry> compacted, List<Segment> opened, Map<Long, Long> removals,
        List<byte[]> keys, Map<Index.Place, Index.Place> moved) throws IOException {
        if (unsynced) {
            sync();          // what makes a value dead must be safe before the value goes
        }
        List<Manifest.Entry> entries = new ArrayList<>(manifest.segments());
        entries.removeIf(e -> victims.contains(e.id()));
        entries.addAll(0, compacted);
        adopt(entries);
        for (Manifest.Entry e : compacted) {
            space.segment(e.id(), e.firstSequence(), e.length(), true);
            space.removal(e.id(), removals.getOrDefault(e.id(), 0L));
            written += 2 * e.length();
        }
        opened.forEach(store::begun);
        for (byte[] key : keys) {
            Index.Place place = editor.get(key);
            Index.Place now = place == null ? null : moved.get(place);
            if (now != null) {
                editor.put(key, now);
                space.live(now.segment(), now.length());
            }
        }
        victims.forEach(space::drop);
        publish();
        victims.forEach(store::replaced);
    }

    /** Removes what has expired, unless it was written again meanwhile. */
    int expire(List<byte[]> keys) throws IOException {
        time = time();
        Batch batch = new Batch();
        for (byte[] key : keys) {
            Index.Place place = editor.get(key);
            if (place != null && place.expires() > 0 && place.expires() <= time) {
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

    /** The figures as they are now. */
    Store.Stats stats() {
        return new Store.Stats(editor.size(), space.segments(), space.length(), space.live(), written, payload, syncs,
            safeTo);
    }
}
