package kelphollow.store;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The operations of a segment without their values, sorted by key. An opening reads hints instead of whole segments and
 * merges them into the index. The manifest records the hint's length and checksum, so that a hint of another segment or of
 * an older state is detected even if it is valid in itself; a hint whose keys are out of order is rejected as damaged.
 *
 * <p>Encoding of an entry: kind (1 byte), zeros (3), key length (4), offset (4) and length (4) of the operation in the
 * segment, sequence (8), expiry (8), key.
 *
 * <p>Memory: the file's bytes, which are 32 per operation plus its key, and 4 more bytes per operation. Immutable.
 */
final class SegmentHint {
    /** Length of an entry without its key. */
    static final int ENTRY_HEADER_BYTES = 32;
    /** Offsets of fields within an entry. */
    static final int KEY_LENGTH_AT = 4;
    static final int SEQUENCE_AT = 16;
    private static final int OFFSET_AT = 8;
    private static final int LENGTH_AT = 12;
    private static final int EXPIRY_AT = 24;

    private static final int HEADER_BYTES = 48;
    private static final int COUNT_AT = 12;
    private static final int SEGMENT_AT = 32;
    private static final int CHECKSUM_BYTES = 4;

    private final long segment;
    private final byte[] bytes;
    /** Offset of each entry, sorted by key; the operations of one key by descending sequence. */
    private final int[] at;
    private final long lastSequence;
    private final long tombstoneBytes;

    private SegmentHint(long segment, byte[] bytes, int[] at) {
        this.segment = segment;
        this.bytes = bytes;
        this.at = at;
        long highest = 0;
        long tombstones = 0;
        for (int i = 0; i < at.length; i++) {
            highest = Math.max(highest, sequence(i));
            tombstones += kind(i) == Operation.TOMBSTONE ? length(i) : 0;
        }
        this.lastSequence = highest;
        this.tombstoneBytes = tombstones;
    }

    /** Builds the hint of a segment from its merged copies. */
    static SegmentHint of(StoreId store, SegmentMerge merge, long segment) {
        UnsortedEntries unsorted = new UnsortedEntries();
        merge.forEachOperation(unsorted::add);
        byte[] entries = unsorted.bytes.array();
        int[] sorted = EntrySort.sorted(entries, unsorted.at, unsorted.count);
        ByteBuffer file = ByteBuffer.allocate(HEADER_BYTES + unsorted.bytes.position() + CHECKSUM_BYTES);
        file.put(Format.HINT_MAGIC).putInt(Format.VERSION).putInt(unsorted.count);
        file.putLong(store.high()).putLong(store.low()).putLong(segment).putLong(0);
        for (int i = 0; i < unsorted.count; i++) {
            int entry = sorted[i];
            sorted[i] = file.position();
            file.put(entries, entry, ENTRY_HEADER_BYTES + Format.int32(entries, entry + KEY_LENGTH_AT));
        }
        file.putInt(Format.crc(file.array(), 0, file.position()));
        return new SegmentHint(segment, file.array(), sorted);
    }

    /** Collects the entries in the segment's order, in one pass over it. */
    private static final class UnsortedEntries {
        private static final int INITIAL_BYTES = 64 * 1024;
        private static final int INITIAL_ENTRIES = 1024;
        private ByteBuffer bytes = ByteBuffer.allocate(INITIAL_BYTES);
        private int[] at = new int[INITIAL_ENTRIES];
        private int count;

        void add(Operation operation) {
            int length = ENTRY_HEADER_BYTES + operation.keyLength();
            if (bytes.remaining() < length) {
                bytes = ByteBuffer.allocate(2 * bytes.capacity() + length).put(bytes.flip());
            }
            if (count == at.length) {
                at = Arrays.copyOf(at, 2 * count);
            }
            at[count] = bytes.position();
            count++;
            bytes.put(operation.kind()).put((byte) 0).putShort((short) 0).putInt(operation.keyLength());
            bytes.putInt(operation.at()).putInt(operation.length());
            bytes.putLong(operation.sequence()).putLong(operation.expiresAt());
            bytes.put(operation.bytes(), operation.keyAt(), operation.keyLength());
        }
    }

    /** Decodes a hint file; null if it is damaged or not the one that the manifest lists. */
    static SegmentHint read(byte[] bytes, StoreId store, Manifest.Entry expected) {
        if (!isListedIn(bytes, store, expected)) {
            return null;
        }
        int end = bytes.length - CHECKSUM_BYTES;
        int next = HEADER_BYTES;
        int[] at = new int[expected.operations()];
        for (int i = 0; i < at.length; i++) {
            if (end - next < ENTRY_HEADER_BYTES) {
                return null;
            }
            at[i] = next;
            int keyLength = Format.int32(bytes, next + KEY_LENGTH_AT);
            if (keyLength < Tables.NUMBER_BYTES || keyLength > end - next - ENTRY_HEADER_BYTES) {
                return null;
            }
            next += ENTRY_HEADER_BYTES + keyLength;
        }
        SegmentHint hint = new SegmentHint(expected.id(), bytes, at);
        return next == end && hint.isSorted() ? hint : null;
    }

    private static boolean isListedIn(byte[] bytes, StoreId store, Manifest.Entry entry) {
        return entry.hintLength() != 0 && bytes.length == entry.hintLength() && bytes.length >= HEADER_BYTES + CHECKSUM_BYTES
            && Format.headerState(bytes, Format.HINT_MAGIC, store, bytes.length) == Format.HeaderState.VALID
            && Format.int32(bytes, bytes.length - CHECKSUM_BYTES) == entry.hintCrc()
            && Format.int64(bytes, SEGMENT_AT) == entry.id() && Format.int32(bytes, COUNT_AT) == entry.operations();
    }

    private boolean isSorted() {
        for (int i = 1; i < at.length; i++) {
            int order = compare(i - 1, this, i);
            if (order > 0 || order == 0 && sequence(i - 1) <= sequence(i)) {
                return false;
            }
        }
        return true;
    }

    /** The file's bytes; callers must not modify them. */
    byte[] bytes() {
        return bytes;
    }

    int crc() {
        return Format.int32(bytes, bytes.length - CHECKSUM_BYTES);
    }

    /** The id of its segment. */
    long segment() {
        return segment;
    }

    /** Number of operations. */
    int count() {
        return at.length;
    }

    long lastSequence() {
        return lastSequence;
    }

    /** Total length of the tombstones in the segment, in bytes. */
    long tombstoneBytes() {
        return tombstoneBytes;
    }

    // ---------------------------------------------------------------- one operation, by its position in key order

    byte kind(int position) {
        return bytes[at[position]];
    }

    /** The offset of the operation in its segment. */
    int offset(int position) {
        return Format.int32(bytes, at[position] + OFFSET_AT);
    }

    /** The length of the operation in its segment. */
    int length(int position) {
        return Format.int32(bytes, at[position] + LENGTH_AT);
    }

    long sequence(int position) {
        return Format.int64(bytes, at[position] + SEQUENCE_AT);
    }

    /** Unix milliseconds, 0 for never. */
    long expiresAt(int position) {
        return Format.int64(bytes, at[position] + EXPIRY_AT);
    }

    private int keyAt(int position) {
        return at[position] + ENTRY_HEADER_BYTES;
    }

    private int keyEnd(int position) {
        return keyAt(position) + Format.int32(bytes, at[position] + KEY_LENGTH_AT);
    }

    byte[] key(int position) {
        return Arrays.copyOfRange(bytes, keyAt(position), keyEnd(position));
    }

    /**
     * The eight key bytes after the first {@code skip}, zero-padded, as an unsigned big-endian number. Orders keys whose
     * first {@code skip} bytes are equal, unless these numbers are equal too.
     */
    long prefix(int position, int skip) {
        return Format.prefix(bytes, keyAt(position) + skip, keyEnd(position));
    }

    /** Length of the common prefix of two keys. */
    int commonPrefix(int position, SegmentHint other, int otherPosition) {
        int length = Math.min(keyEnd(position) - keyAt(position), other.keyEnd(otherPosition) - other.keyAt(otherPosition));
        int mismatch = Arrays.mismatch(bytes, keyAt(position), keyAt(position) + length, other.bytes,
            other.keyAt(otherPosition), other.keyAt(otherPosition) + length);
        return mismatch < 0 ? length : mismatch;
    }

    int compare(int position, SegmentHint other, int otherPosition) {
        return Arrays.compareUnsigned(bytes, keyAt(position), keyEnd(position), other.bytes, other.keyAt(otherPosition),
            other.keyEnd(otherPosition));
    }

    /** The first position whose key is greater than or equal to this one. */
    int lowerBound(byte[] key) {
        int low = 0;
        int high = at.length;
        while (low < high) {
            int middle = low + high >>> 1;
            if (Arrays.compareUnsigned(bytes, keyAt(middle), keyEnd(middle), key, 0, key.length) < 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** Adds the key and its location to an index leaf without allocating an object for either. */
    void addTo(IndexLeafBuilder leafBuilder, int position) {
        leafBuilder.add(bytes, keyAt(position), keyEnd(position), (int) segment, offset(position), length(position),
            sequence(position), expiresAt(position));
    }
}
