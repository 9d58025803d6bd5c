package kelphollow.store;

import java.util.Arrays;

/**
 * One leaf of an {@link Index}: keys in ascending order, concatenated in one array, and their locations in parallel arrays,
 * so that no object is kept per key. Only its owner modifies it, on the owner's thread, until an index that contains it is
 * published; immutable from then on.
 */
final class IndexLeaf {
    /** Maximum number of keys; an insertion into a full leaf splits it. */
    static final int MAX_KEYS = 128;

    private final Object owner;
    private int count;
    private byte[] keys;
    /** End offset of each key in {@link #keys}. */
    private final int[] ends;
    private final int[] segments;
    private final int[] offsets;
    private final int[] lengths;
    private final long[] sequences;
    private final long[] expiries;

    /**
     * Creates an empty leaf.
     *
     * @param owner token of the editor that may modify the leaf, compared by identity
     * @param capacity maximum number of keys
     * @param keyBytes capacity for the bytes of all keys together
     */
    IndexLeaf(Object owner, int capacity, int keyBytes) {
        this.owner = owner;
        keys = new byte[keyBytes];
        ends = new int[capacity];
        segments = new int[capacity];
        offsets = new int[capacity];
        lengths = new int[capacity];
        sequences = new long[capacity];
        expiries = new long[capacity];
    }

    boolean isOwnedBy(Object editor) {
        return owner == editor;
    }

    int count() {
        return count;
    }

    /** Bytes of all keys together. */
    int keyBytes() {
        return count == 0 ? 0 : ends[count - 1];
    }

    boolean isFilledTo(int keyCount) {
        return count == keyCount && keyBytes() == keys.length;
    }

    boolean hasRoomFor(int keyBytes) {
        return count < ends.length && keyBytes() + keyBytes <= keys.length;
    }

    private int start(int slot) {
        return slot == 0 ? 0 : ends[slot - 1];
    }

    byte[] key(int slot) {
        return Arrays.copyOfRange(keys, start(slot), ends[slot]);
    }

    int compare(int slot, byte[] key) {
        return Arrays.compareUnsigned(keys, start(slot), ends[slot], key, 0, key.length);
    }

    /** The slot of a key, or a negative number for {@link #insertionSlot} if the key is absent. */
    int find(byte[] key) {
        int low = 0;
        int high = count - 1;
        while (low <= high) {
            int middle = low + high >>> 1;
            int order = compare(middle, key);
            if (order == 0) {
                return middle;
            }
            if (order < 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return -1 - low;
    }

    /** The slot at which to insert an absent key, from the negative result of {@link #find}. */
    static int insertionSlot(int notFound) {
        return -1 - notFound;
    }

    Index.Location location(int slot) {
        return new Index.Location(segments[slot], offsets[slot], lengths[slot], sequences[slot], expiries[slot]);
    }

    void set(int slot, Index.Location location) {
        set(slot, location.segment(), location.offset(), location.length(), location.sequence(), location.expiresAt());
    }

    private void set(int slot, int segment, int offset, int length, long sequence, long expiresAt) {
        segments[slot] = segment;
        offsets[slot] = offset;
        lengths[slot] = length;
        sequences[slot] = sequence;
        expiries[slot] = expiresAt;
    }

    /** Copies slots {@code from} (inclusive) to {@code to} (exclusive) into a new leaf with spare capacity. */
    IndexLeaf copy(Object newOwner, int from, int to, int moreKeys, int moreKeyBytes) {
        int copied = to - from;
        int keysFrom = start(from);
        int keysTo = to == 0 ? 0 : ends[to - 1];
        IndexLeaf copy = new IndexLeaf(newOwner, copied + moreKeys, keysTo - keysFrom + moreKeyBytes);
        System.arraycopy(keys, keysFrom, copy.keys, 0, keysTo - keysFrom);
        for (int i = 0; i < copied; i++) {
            copy.ends[i] = ends[from + i] - keysFrom;
        }
        copyLocations(from, copy, 0, copied);
        copy.count = copied;
        return copy;
    }

    private void copyLocations(int from, IndexLeaf target, int to, int copied) {
        System.arraycopy(segments, from, target.segments, to, copied);
        System.arraycopy(offsets, from, target.offsets, to, copied);
        System.arraycopy(lengths, from, target.lengths, to, copied);
        System.arraycopy(sequences, from, target.sequences, to, copied);
        System.arraycopy(expiries, from, target.expiries, to, copied);
    }

    private void shift(int from, int to) {
        System.arraycopy(ends, from, ends, to, count - from);
        copyLocations(from, this, to, count - from);
    }

    /** Inserts a key at this slot and shifts the following ones; the leaf must have room for it. */
    void insert(int slot, byte[] key, Index.Location location) {
        int at = start(slot);
        System.arraycopy(keys, at, keys, at + key.length, keyBytes() - at);
        System.arraycopy(key, 0, keys, at, key.length);
        shift(slot, slot + 1);
        count++;
        ends[slot] = at;
        for (int i = slot; i < count; i++) {
            ends[i] += key.length;
        }
        set(slot, location);
    }

    void remove(int slot) {
        int at = start(slot);
        int length = ends[slot] - at;
        System.arraycopy(keys, at + length, keys, at, keyBytes() - at - length);
        shift(slot + 1, slot);
        count--;
        for (int i = slot; i < count; i++) {
            ends[i] -= length;
        }
    }

    /** Appends a key greater than all others without allocating an object for it; grows the key array if needed. */
    void append(byte[] from, int keyFrom, int keyTo, int segment, int offset, int length, long sequence, long expiresAt) {
        int keyEnd = keyBytes();
        int keyLength = keyTo - keyFrom;
        if (keys.length - keyEnd < keyLength) {
            keys = Arrays.copyOf(keys, keyEnd + Math.max(keyLength, keyEnd / 2));
        }
        System.arraycopy(from, keyFrom, keys, keyEnd, keyLength);
        int slot = count++;
        ends[slot] = keyEnd + keyLength;
        set(slot, segment, offset, length, sequence, expiresAt);
    }
}
