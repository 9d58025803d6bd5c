package kelphollow.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What an opening reads of one segment before anything is decided or changed: its hint if one will do, else both copies
 * and what they make together. This is nearly all the work of an opening, so it is done for several segments side by
 * side, as many as fit into a quarter of the heap.
 */
final class SegmentInspection {
    // Below so many bytes handing out costs more than it brings; and tests on small stores stay in one order.
    private static final long WORTH_SHARING = 1 << 20;

    private final Manifest.Entry entry;
    private SegmentHint hint;
    private boolean byHint;
    private final boolean[] hintIsWhole = new boolean[2];
    private byte[] a, b;
    private SegmentMerge merge;
    private IOException failed;
    private StoreFault rejected;

    private SegmentInspection(Manifest.Entry entry) {
        this.entry = entry;
    }

    /** The segments from this one on, as many as can be held at once; at least one. */
    static List<SegmentInspection> several(Disk[] disks, StoreId store, List<Manifest.Entry> all, int from,
        boolean mayHint) {
        long room = Runtime.getRuntime().maxMemory() / 4, bytes = 0;
        List<SegmentInspection> looks = new ArrayList<>();
        for (int i = from; i < all.size() && (looks.isEmpty() || bytes < room); i++) {
            Manifest.Entry e = all.get(i);
            // Two copies if they differ, and what comes of them; of a segment that is written to the length is not known.
            bytes += mayHint && e.hintLength() > 0 ? 2L * e.hintLength() : 4 * e.length();
            looks.add(new SegmentInspection(e));
        }
        (bytes < WORTH_SHARING ? looks.stream() : looks.parallelStream()).forEach(l -> l.look(disks, store, mayHint));
        return looks;
    }

    private void look(Disk[] disks, StoreId store, boolean mayHint) {
        try {
            if (!mayHint || !entry.isSealed() || !readHint(disks, store)) {
                merge(disks, store);
            }
        } catch (IOException e) {
            failed = e;
        } catch (StoreFault e) {
            rejected = e;
        }
    }

    private boolean readHint(Disk[] disks, StoreId store) throws IOException {
        if (entry.hintLength() == 0) {
            return false;
        }
        for (int i = 0; i < disks.length; i++) {
            byte[] like = hint == null ? new byte[0] : hint.bytes();
            byte[] bytes = AtomicFile.read(disks[i], Format.hintName(entry.id()), like);
            hint = hint != null ? hint : SegmentHint.read(bytes, store, entry);
            hintIsWhole[i] = hint != null && Arrays.equals(bytes, hint.bytes());
        }
        byHint = hint != null;
        return byHint;
    }

    private void merge(Disk[] disks, StoreId store) throws IOException, StoreFault {
        String name = Format.segmentName(entry.id());
        a = AtomicFile.read(disks[0], name);
        b = AtomicFile.read(disks[1], name, a);
        for (int i = 0; i < 2; i++) {
            if (Format.start(i == 0 ? a : b, Format.SEGMENT_MAGIC, null, Format.SEGMENT_HEADER)
                == Format.Start.OTHER_VERSION) {
                throw new StoreFault(StoreFault.Kind.VERSION, disks[i].place() + "/" + name
                    + " has a format version other than " + Format.VERSION);
            }
        }
        merge = new SegmentMerge(a, b, store, entry);
        hint = SegmentHint.of(store, merge, entry.id());
    }

    /** Makes sure that both copies have been read, and says what went wrong with that. */
    void readBoth(Disk[] disks, StoreId store) throws IOException, StoreFault {
        if (failed != null) {
            throw failed;
        }
        if (rejected != null) {
            throw rejected;
        }
        if (merge == null) {
            byHint = false;
            merge(disks, store);
        }
    }

    Manifest.Entry entry() {
        return entry;
    }

    /** Whether the hint will do; otherwise both copies have been read. */
    boolean isByHint() {
        return byHint;
    }

    /** What the segment holds, from its hint or from its copies. */
    SegmentHint hint() {
        return hint;
    }

    /** Which of the two hint files is as it should be. */
    boolean[] hintIsWhole() {
        return hintIsWhole;
    }

    byte[] a() {
        return a;
    }

    byte[] b() {
        return b;
    }

    SegmentMerge merge() {
        return merge;
    }
}
