package kelphollow.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Work in the background: hints for sealed segments, removal of what has expired, compaction, scrubbing. It writes new
 * files beside the old ones and asks the writer to put them in force; a crash at any step leaves files that no manifest
 * names, which the next opening deletes. If it cannot write (a full disk) it gives up for now and the store goes on.
 */
final class Compactor implements Runnable {
    static final int FRAME_BYTES = 64 * 1024;
    private static final int EXPIRED_AT_ONCE = 1_000;
    private static final long PAUSE = 1_000;

    private final Store store;
    private final Writer writer;
    private final StoreOptions options;
    private final Pace pace;
    private final ReentrantLock busy = new ReentrantLock();
    private boolean closing;
    private long scrubbedAt;

    Compactor(Store store, Writer writer, StoreOptions options) {
        this.store = store;
        this.writer = writer;
        this.options = options;
        this.scrubbedAt = store.time();
        this.pace = options.inline() ? Pace.FREE : Pace.of(options.compactBytesPerSecond());
    }

    @Override public void run() {
        while (!isClosing()) {
            try {
                while (!isClosing() && turn()) {
                    // until nothing is left to do
                }
            } catch (StoreFault e) {
                return;          // closed, or failed, which has been said
            } catch (IOException e) {
                store.warn("compaction gives up for now: " + e.getMessage());
            }
            rest();
        }
    }

    private synchronized boolean isClosing() {
        return closing;
    }

    private synchronized void rest() {
        try {
            if (!closing) {
                wait(PAUSE);
            }
        } catch (InterruptedException e) {
            closing = true;
        }
    }

    /** Has it look for work now. */
    synchronized void wake() {
        notifyAll();
    }

    synchronized void close() {
        closing = true;
        notifyAll();
    }

    /** One piece of work; false if there was none. One at a time, whoever asks. */
    boolean turn() throws IOException, StoreFault {
        busy.lock();
        try {
            return hint() || expire() || compact() || scrubIfDue();
        } finally {
            busy.unlock();
        }
    }

    // ---------------------------------------------------------------- hints

    private boolean hint() throws IOException, StoreFault {
        Manifest[] manifest = new Manifest[1];
        writer.run(() -> manifest[0] = writer.log().manifest());
        for (Manifest.Entry entry : manifest[0].segments()) {
            if (entry.isSealed() && entry.hintLength() == 0 && entry.operations() > 0) {
                SegmentHint hint = writeHint(entry.id(), whole(entry));
                writer.run(() -> writer.log().hint(entry.id(), hint.bytes().length, hint.crc()));
                return true;
            }
        }
        return false;
    }

    private SegmentHint writeHint(long segment, SegmentMerge merge) throws IOException {
        SegmentHint hint = SegmentHint.of(store.id(), merge, segment);
        pace.take(2L * hint.bytes().length);
        for (Disk disk : store.disks()) {
            AtomicFile.write(disk, Format.hintName(segment), hint.bytes());
            disk.syncFolder();
        }
        return hint;
    }

    /** Reads a sealed segment and checks it; the second copy is read only if the first is not whole. */
    private SegmentMerge whole(Manifest.Entry entry) throws IOException, StoreFault {
        Segment segment = store.segment(entry.id());
        if (segment == null || !segment.pin()) {
            throw new IOException(Format.segmentName(entry.id()) + " has been closed");
        }
        try {
            byte[] a = segment.copy(0);
            pace.take(a.length);
            SegmentMerge merge = new SegmentMerge(a, a, store.id(), entry);
            if (merge.damages().isEmpty() && merge.isWholeInA()) {
                return merge;
            }
            merge = new SegmentMerge(a, segment.copy(1), store.id(), entry);
            if (!merge.damages().isEmpty()) {
                throw store.damaged(segment, merge);
            }
            return merge;
        } finally {
            segment.release();
        }
    }

    // ---------------------------------------------------------------- expiry

    private boolean expire() throws IOException, StoreFault {
        long[] now = new long[1];
        writer.run(() -> now[0] = writer.log().time());
        List<byte[]> keys = new ArrayList<>();
        store.index().walk(new byte[0], (key, place) -> {
            if (place.expires() > 0 && place.expires() <= now[0]) {
                keys.add(key);
            }
            return keys.size() < EXPIRED_AT_ONCE;
        });
        if (keys.isEmpty()) {
            return false;
        }
        int[] count = new int[1];
        writer.run(() -> count[0] = writer.log().expire(keys));
        return count[0] > 0;
    }

    // ---------------------------------------------------------------- compaction

    /** What one compaction has written so far. */
    private final class Output {
        final List<Manifest.Entry> entries = new ArrayList<>();
        final List<Segment> segments = new ArrayList<>();
        final Map<Long, Long> removals = new HashMap<>();
        final List<byte[]> keys = new ArrayList<>();
        final Map<Index.Place, Index.Place> moved = new HashMap<>();
        final FrameWriter frame = new FrameWriter(2 * FRAME_BYTES);
        final long firstSequence;
        private Segment current;
        private int frameAt = -1, ops;
        private long highest;

        Output(long firstSequence) {
            this.firstSequence = firstSequence;
        }

        void add(Format.Op op, Index.Place from) throws IOException, StoreFault {
            if (current != null && current.length() + frame.length() + op.length() > options.segmentBytes()
                && current.length() + frame.length() > Format.SEGMENT_HEADER + Format.FRAME_HEAD) {
                finish();
            }
            if (current == null) {
                long[] id = new long[1];
                writer.run(() -> id[0] = writer.log().newSegment());
                current = Segment.create(store.disks(), store.id(), id[0], firstSequence);
                segments.add(current);
            }
            if (frameAt < 0) {
                frameAt = frame.begin(op.length());
            }
            int at = frame.op(op);
            ops++;
            highest = Math.max(highest, op.sequence());
            if (from == null) {
                removals.merge(current.id(), (long) op.length(), Long::sum);
            } else {
                keys.add(op.key());
                moved.put(from, new Index.Place((int) current.id(), (int) current.length() + at, op.length(),
                    op.sequence(), op.expires()));
            }
            if (frame.length() >= FRAME_BYTES) {
                flush();
            }
        }

        private void flush() throws IOException {
            if (frameAt >= 0) {
                frame.end(frameAt, Format.MOVED, highest, current.id(), current.length());
                pace.take(2L * frame.length());
                current.append(frame.bytes(), ops);
                frame.clear();
                frameAt = -1;
                ops = 0;
                highest = 0;
            }
        }

        /** Ends the segment at hand and makes it, with its hint, safe in both folders. */
        void finish() throws IOException, StoreFault {
            if (current != null) {
                flush();
                current.sync();
                Manifest.Entry entry = current.sealed();
                byte[] copy = current.copy(0);
                SegmentMerge merge = new SegmentMerge(copy, copy, store.id(), entry);
                if (!merge.damages().isEmpty()) {
                    throw new IOException(Format.segmentName(entry.id()) + " cannot be read back");
                }
                SegmentHint hint = writeHint(entry.id(), merge);
                entries.add(entry.withHint(hint.bytes().length, hint.crc()));
                current = null;
            }
        }

        /** What was written is of no use; after a fault of the store nobody knows whether a manifest names it. */
        void abandon(boolean delete) {
            for (Segment s : segments) {
                if (delete) {
                    s.replaced();
                }
                s.release();
            }
        }
    }

    private boolean compact() throws IOException, StoreFault {
        List<Long> victims = new ArrayList<>();
        List<Manifest.Entry> entries = new ArrayList<>();
        writer.run(() -> {
            victims.addAll(writer.log().space().choose(options.segmentBytes()));
            entries.addAll(writer.log().manifest().segments());
        });
        return !victims.isEmpty() && compact(victims, entries);
    }

    /** Compacts all sealed segments, whatever is live in them. */
    boolean compactAll() throws IOException, StoreFault {
        busy.lock();
        try {
            List<Manifest.Entry> entries = new ArrayList<>();
            writer.run(() -> entries.addAll(writer.log().manifest().segments()));
            List<Long> sealed = entries.stream().filter(Manifest.Entry::isSealed).map(Manifest.Entry::id).toList();
            return !sealed.isEmpty() && compact(sealed, entries);
        } finally {
            busy.unlock();
        }
    }

    private boolean compact(List<Long> victims, List<Manifest.Entry> entries) throws IOException, StoreFault {
        long first = Long.MAX_VALUE, olderElsewhere = Long.MAX_VALUE;
        for (Manifest.Entry e : entries) {
            if (victims.contains(e.id())) {
                first = Math.min(first, e.firstSequence());
            } else {
                olderElsewhere = Math.min(olderElsewhere, e.firstSequence());
            }
        }
        Output output = new Output(first);
        boolean inForce = false;
        try {
            for (Manifest.Entry e : entries) {
                if (victims.contains(e.id())) {
                    copy(e, output, olderElsewhere);
                }
            }
            output.finish();
            writer.run(() -> writer.log().replace(victims, output.entries, output.segments, output.removals, output.keys,
                output.moved));
            inForce = true;
        } finally {
            if (!inForce) {
                output.abandon(writer.fault() == null);
            }
        }
        return true;
    }

    /** Copies what is live, and removals that still hide something older in a segment that stays. */
    private void copy(Manifest.Entry victim, Output output, long olderElsewhere) throws IOException, StoreFault {
        SegmentMerge merge = whole(victim);
        Index index = store.index();
        List<Format.Op> ops = new ArrayList<>();
        for (SegmentMerge.Frame frame : merge.frames()) {
            SegmentMerge.ops(merge.image(), frame, ops::add);
        }
        for (Format.Op op : ops) {
            Index.Place place = index.get(op.key());
            if (op.kind() == Format.REMOVE) {
                boolean hides = olderElsewhere < op.sequence() && (place == null || place.sequence() < op.sequence());
                if (hides) {
                    output.add(op, null);
                }
            } else if (place != null && place.segment() == victim.id() && place.offset() == op.at()) {
                output.add(op, place);
            }
        }
    }

    // ---------------------------------------------------------------- scrubbing

    /** Never says that there was work: what it does is not done again at once. */
    private boolean scrubIfDue() throws IOException, StoreFault {
        if (options.scrubEvery() > 0 && store.time() - scrubbedAt >= options.scrubEvery()) {
            scrubbedAt = store.time();
            Report report = new Report();
            scrubAll(report);
            report.lines().forEach(line -> store.warn("scrubbing " + line));
        }
        return false;
    }

    /** Reads both copies of every sealed segment, and repairs the one that is not whole from the other. */
    int scrub(Report report) throws IOException, StoreFault {
        busy.lock();
        try {
            return scrubAll(report);
        } finally {
            busy.unlock();
        }
    }

    private int scrubAll(Report report) throws IOException, StoreFault {
        List<Manifest.Entry> entries = new ArrayList<>();
        writer.run(() -> entries.addAll(writer.log().manifest().segments()));
        int repaired = 0;
        for (Manifest.Entry entry : entries) {
            Segment segment = entry.isSealed() ? store.segment(entry.id()) : null;
            if (segment == null || !segment.pin()) {
                continue;        // compaction has replaced it meanwhile
            }
            try {
                repaired += scrub(segment, entry, report);
            } finally {
                segment.release();
            }
        }
        return repaired;
    }

    private int scrub(Segment segment, Manifest.Entry entry, Report report) throws IOException, StoreFault {
        byte[] a = segment.copy(0), b = segment.copy(1);
        pace.take(a.length + (long) b.length);
        SegmentMerge merge = new SegmentMerge(a, b, store.id(), entry);
        if (!merge.damages().isEmpty()) {
            throw store.damaged(segment, merge);
        }
        int repaired = 0;
        for (int i = 0; i < 2; i++) {
            if (!(i == 0 ? merge.isWholeInA() : merge.isWholeInB())) {
                segment.repair(i, merge.image());
                report.repaired(store.disks()[i].place() + "/" + Format.segmentName(entry.id()),
                    "from " + store.disks()[1 - i].place());
                repaired++;
            }
        }
        return repaired + (entry.hintLength() > 0 ? scrubHint(merge, entry, report) : 0);
    }

    private int scrubHint(SegmentMerge merge, Manifest.Entry entry, Report report) throws IOException {
        SegmentHint hint = SegmentHint.of(store.id(), merge, entry.id());
        String name = Format.hintName(entry.id());
        int repaired = 0;
        for (Disk disk : store.disks()) {
            if (AtomicFile.read(disk, name, hint.bytes()) != hint.bytes()) {
                AtomicFile.replace(disk, name, name + FolderFiles.REPLACEMENT, hint.bytes());
                report.repaired(disk.place() + "/" + name, "from " + Format.segmentName(entry.id()));
                repaired++;
            }
        }
        return repaired;
    }
}
