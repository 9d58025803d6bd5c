package kelphollow.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/**
 * Reads one segment for recovery without changing anything: its hint if that is sufficient, otherwise both copies, which it
 * merges. This is nearly all the work of an opening, so several segments are read in parallel on the common pool, as many as
 * fit into a quarter of the heap. Filled by one thread, then confined to the thread that opens the store.
 */
final class SegmentInspection {
    /** Below this total the segments are read sequentially on the caller's thread. */
    private static final long MIN_PARALLEL_BYTES = 1 << 20;
    /** The segments held at once use at most 1/{@code HEAP_DIVISOR} of the maximum heap. */
    private static final int HEAP_DIVISOR = 4;
    /** Heap bytes per byte of a hint file: both copies, if they differ. */
    private static final long HINT_FACTOR = 2;
    /** Heap bytes per byte of a segment: both copies, if they differ, and their merged image and hint. */
    private static final long SEGMENT_FACTOR = 4;

    private final Manifest.Entry entry;
    private final boolean[] hintFilesIntact = new boolean[2];
    private SegmentHint hint;
    private boolean hintSufficient;
    private byte[] first;
    private byte[] second;
    private SegmentMerge merge;
    private IOException failure;
    private StoreFault fault;

    private SegmentInspection(Manifest.Entry entry) {
        this.entry = entry;
    }

    /** Reads as many segments from this position of the list on as fit into memory at once; at least one. */
    static List<SegmentInspection> readFrom(int position, List<Manifest.Entry> all, Disk[] disks, StoreId store,
        boolean mayUseHints) {
        long maxBytes = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
        long bytes = 0;
        List<SegmentInspection> inspections = new ArrayList<>();
        for (int i = position; i < all.size() && (inspections.isEmpty() || bytes < maxBytes); i++) {
            Manifest.Entry entry = all.get(i);
            bytes += mayUseHints && entry.hintLength() > 0 ? HINT_FACTOR * entry.hintLength()
                : SEGMENT_FACTOR * entry.length();
            inspections.add(new SegmentInspection(entry));
        }
        Stream<SegmentInspection> work = bytes < MIN_PARALLEL_BYTES ? inspections.stream() : inspections.parallelStream();
        work.forEach(inspection -> inspection.read(disks, store, mayUseHints));
        return inspections;
    }

    private void read(Disk[] disks, StoreId store, boolean mayUseHint) {
        try {
            if (!mayUseHint || !entry.isSealed() || !readHint(disks, store)) {
                readCopies(disks, store);
            }
        } catch (IOException e) {
            failure = e;
        } catch (StoreFault e) {
            fault = e;
        }
    }

    private boolean readHint(Disk[] disks, StoreId store) throws IOException {
        if (entry.hintLength() == 0) {
            return false;
        }
        for (int i = 0; i < disks.length; i++) {
            byte[] expected = hint == null ? new byte[0] : hint.bytes();
            byte[] bytes = AtomicFile.read(disks[i], Format.hintName(entry.id()), expected);
            if (hint == null) {
                hint = SegmentHint.read(bytes, store, entry);
            }
            hintFilesIntact[i] = hint != null && Arrays.equals(bytes, hint.bytes());
        }
        hintSufficient = hint != null;
        return hintSufficient;
    }

    private void readCopies(Disk[] disks, StoreId store) throws IOException, StoreFault {
        String name = Format.segmentName(entry.id());
        first = AtomicFile.read(disks[0], name);
        second = AtomicFile.read(disks[1], name, first);
        checkVersion(first, disks[0], name);
        checkVersion(second, disks[1], name);
        merge = new SegmentMerge(first, second, store, entry);
        hint = SegmentHint.of(store, merge, entry.id());
    }

    private static void checkVersion(byte[] copy, Disk disk, String name) throws StoreFault {
        if (Format.headerState(copy, Format.SEGMENT_MAGIC, null, Format.SEGMENT_HEADER_BYTES)
            == Format.HeaderState.OTHER_VERSION) {
            throw new StoreFault(StoreFault.Kind.UNSUPPORTED_VERSION, disk.path() + "/" + name
                + " has a format version other than " + Format.VERSION);
        }
    }

    /** Reads both copies unless they have been read already; throws the failure of an earlier read. */
    void readBoth(Disk[] disks, StoreId store) throws IOException, StoreFault {
        if (failure != null) {
            throw failure;
        }
        if (fault != null) {
            throw fault;
        }
        if (merge == null) {
            hintSufficient = false;
            readCopies(disks, store);
        }
    }

    Manifest.Entry entry() {
        return entry;
    }

    /** Whether the hint was read instead of both copies. */
    boolean isHintSufficient() {
        return hintSufficient;
    }

    /** The operations of the segment, read from its hint file or built from its copies. */
    SegmentHint hint() {
        return hint;
    }

    /** For each folder, whether its hint file is the one that the manifest lists. */
    boolean[] hintFilesIntact() {
        return hintFilesIntact;
    }

    /** The bytes of the first copy. */
    byte[] first() {
        return first;
    }

    /** The bytes of the second copy. */
    byte[] second() {
        return second;
    }

    /** The merged copies; null before they are read. */
    SegmentMerge merge() {
        return merge;
    }
}
