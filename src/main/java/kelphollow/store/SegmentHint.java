package kelphollow.store;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * What a segment holds, without the values, in the order of its keys: an opening reads it instead of the segment and
 * merges all of them into the index. The manifest holds its length and checksum, so that a hint of another segment or
 * of an older state is seen, whatever it says of itself; one whose keys are out of order is refused like a damaged one.
 *
 * <p>Memory: the file's bytes, which are 32 a key and the key, and 4 bytes a key. Never changes.
 */
final class SegmentHint {
    private static final int HEAD = 48;
    /** An entry's length without its key; the key's length stands at 4, the sequence at 16. */
    static final int ENTRY = 32;

    private final long segment;
    private final byte[] bytes;
    /** Where each entry begins, in the order of the keys; of one key the latest operation first. */
    private final int[] at;
    private long lastSequence, removals;

    private SegmentHint(long segment, byte[] bytes, int[] at) {
        this.segment = segment;
        this.bytes = bytes;
        this.at = at;
        for (int i = 0; i < at.length; i++) {
            lastSequence = Math.max(lastSequence, sequence(i));
            removals += kind(i) == Format.REMOVE ? length(i) : 0;
        }
    }

    /** The hint of a segment that has been read. */
    static SegmentHint of(StoreId store, SegmentMerge merge, long segment) {
        Log log = new Log();
        for (SegmentMerge.Frame frame : merge.frames()) {
            SegmentMerge.ops(merge.image(), frame, log::add);
        }
        byte[] entries = log.bytes.array();
        int[] sorted = EntrySort.sorted(entries, log.at, log.count);
        ByteBuffer b = ByteBuffer.allocate(HEAD + log.bytes.position() + 4);
        b.put(Format.HINT_MAGIC).putInt(Format.VERSION).putInt(log.count);
        b.putLong(store.high()).putLong(store.low()).putLong(segment).putLong(0);
        for (int i = 0; i < log.count; i++) {
            int at = sorted[i];
            sorted[i] = b.position();
            b.put(entries, at, ENTRY + Format.int32(entries, at + 4));
        }
        b.putInt(Format.crc(b.array(), 0, b.position()));
        return new SegmentHint(segment, b.array(), sorted);
    }

    /** The entries in the order of the segment: read in one pass over it, which a sorted one would jump about in. */
    private static final class Log {
        private ByteBuffer bytes = ByteBuffer.allocate(64 * 1024);
        private int[] at = new int[1024];
        private int count;

        void add(Format.Op op) {
            if (bytes.remaining() < ENTRY + op.keyLength()) {
                bytes = ByteBuffer.allocate(2 * bytes.capacity() + ENTRY + op.keyLength()).put(bytes.flip());
            }
            if (count == at.length) {
                at = Arrays.copyOf(at, 2 * count);
            }
            at[count++] = bytes.position();
            bytes.put(op.kind()).put((byte) 0).putShort((short) 0).putInt(op.keyLength());
            bytes.putInt(op.at()).putInt(op.length()).putLong(op.sequence()).putLong(op.expires());
            bytes.put(op.bytes(), op.keyAt(), op.keyLength());
        }
    }

    /** Reads a hint, or null if it is not the one that the manifest means. */
    static SegmentHint read(byte[] bytes, StoreId store, Manifest.Entry of) {
        if (of.hintLength() == 0 || bytes.length != of.hintLength() || bytes.length < HEAD + 4
            || Format.start(bytes, Format.HINT_MAGIC, store, bytes.length) != Format.Start.SOUND
            || Format.int32(bytes, bytes.length - 4) != of.hintCrc() || Format.int64(bytes, 32) != of.id()
            || Format.int32(bytes, 12) != of.operations()) {
            return null;
        }
        int count = of.operations(), end = bytes.length - 4, next = HEAD;
        int[] at = new int[count];
        for (int i = 0; i < count; i++) {
            if (end - next < ENTRY) {
                return null;
            }
            at[i] = next;
            int keyLength = Format.int32(bytes, next + 4);
            if (keyLength < 2 || keyLength > end - next - ENTRY) {
                return null;
            }
            next += ENTRY + keyLength;
        }
        SegmentHint hint = new SegmentHint(of.id(), bytes, at);
        return next == end && hint.isSorted() ? hint : null;
    }

    private boolean isSorted() {
        for (int i = 1; i < at.length; i++) {
            int c = compare(i - 1, this, i);
            if (c > 0 || c == 0 && sequence(i - 1) <= sequence(i)) {
                return false;
            }
        }
        return true;
    }

    byte[] bytes() {
        return bytes;
    }

    int crc() {
        return Format.int32(bytes, bytes.length - 4);
    }

    long segment() {
        return segment;
    }

    /** How many operations. */
    int count() {
        return at.length;
    }

    long lastSequence() {
        return lastSequence;
    }

    /** Bytes of the segment that are removals. */
    long removals() {
        return removals;
    }

    // ---------------------------------------------------------------- one operation, by its place in the order

    byte kind(int i) {
        return bytes[at[i]];
    }

    /** The offset of the operation in its segment. */
    int offset(int i) {
        return Format.int32(bytes, at[i] + 8);
    }

    /** The length of the operation in its segment. */
    int length(int i) {
        return Format.int32(bytes, at[i] + 12);
    }

    long sequence(int i) {
        return Format.int64(bytes, at[i] + 16);
    }

    long expires(int i) {
        return Format.int64(bytes, at[i] + 24);
    }

    private int keyAt(int i) {
        return at[i] + ENTRY;
    }

    private int keyEnd(int i) {
        return keyAt(i) + Format.int32(bytes, at[i] + 4);
    }

    byte[] key(int i) {
        return Arrays.copyOfRange(bytes, keyAt(i), keyEnd(i));
    }

    /**
     * Eight bytes of the key behind the first few, as a number, zeros behind a shorter one: unsigned, it orders keys that
     * begin alike unless it is equal.
     */
    long prefix(int i, int skip) {
        return Format.prefix(bytes, keyAt(i) + skip, keyEnd(i));
    }

    /** How many bytes two keys begin with alike. */
    int common(int i, SegmentHint other, int j) {
        int length = Math.min(keyEnd(i) - keyAt(i), other.keyEnd(j) - other.keyAt(j));
        int differ = Arrays.mismatch(bytes, keyAt(i), keyAt(i) + length, other.bytes, other.keyAt(j),
            other.keyAt(j) + length);
        return differ < 0 ? length : differ;
    }

    int compare(int i, SegmentHint other, int j) {
        return Arrays.compareUnsigned(bytes, keyAt(i), keyEnd(i), other.bytes, other.keyAt(j), other.keyEnd(j));
    }

    /** The first place whose key is this one or a later one. */
    int lowerBound(byte[] key) {
        int low = 0, high = at.length;
        while (low < high) {
            int mid = low + high >>> 1;
            if (Arrays.compareUnsigned(bytes, keyAt(mid), keyEnd(mid), key, 0, key.length) < 0) {
                low = mid + 1;
            } else {
                high = mid;
            }
        }
        return low;
    }

    void addTo(Index.Run run, int i) {
        run.add(bytes, keyAt(i), keyEnd(i), (int) segment, offset(i), length(i), sequence(i), expires(i));
    }
}
