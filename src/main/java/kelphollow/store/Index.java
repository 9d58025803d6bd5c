package kelphollow.store;

import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;

/**
 * Maps each key to the location of its latest value: a sorted two-level array of {@link IndexLeaf leaves}. Immutable and
 * thread-safe: an {@link IndexEditor} creates the next version, which shares all unchanged leaves, so a snapshot costs
 * nothing and readers take no lock.
 *
 * <p>Memory per key, in addition to the key itself: 32 bytes in a full leaf, 42 to 46 after splits in random order. A lookup
 * costs two binary searches; a change copies one leaf of at most {@value IndexLeaf#MAX_KEYS} keys, and publishing copies
 * one reference per leaf.
 */
final class Index {
    static final Index EMPTY = new Index(new IndexLeaf[0], 0);

    /**
     * Position of the operation that set a key.
     *
     * @param segment id of its segment
     * @param offset of the operation in the segment, in bytes
     * @param length of the operation, in bytes
     * @param expiresAt Unix milliseconds, 0 for never
     */
    record Location(int segment, int offset, int length, long sequence, long expiresAt) {
        boolean isExpired(long now) {
            return expiresAt > 0 && expiresAt <= now;
        }
    }

    /** A key and its location. */
    record Entry(byte[] key, Location location) {}

    private final IndexLeaf[] leaves;
    private final int size;

    Index(IndexLeaf[] leaves, int size) {
        this.leaves = leaves;
        this.size = size;
    }

    /** Joins the leaves of these builders, whose keys must be in ascending order across builders. */
    static Index of(List<IndexLeafBuilder> builders) {
        IndexLeaf[] all = builders.stream().flatMap(builder -> builder.leaves().stream()).toArray(IndexLeaf[]::new);
        return new Index(all, builders.stream().mapToInt(IndexLeafBuilder::size).sum());
    }

    int size() {
        return size;
    }

    /** The leaves, shared: callers must not modify the array or the leaves. */
    IndexLeaf[] leaves() {
        return leaves;
    }

    /** The location of a key, or null. */
    Location get(byte[] key) {
        return find(leaves, leaves.length, key);
    }

    static Location find(IndexLeaf[] leaves, int leafCount, byte[] key) {
        int leaf = leafFor(leaves, leafCount, key);
        if (leaf < 0) {
            return null;
        }
        int slot = leaves[leaf].find(key);
        return slot < 0 ? null : leaves[leaf].location(slot);
    }

    /** Position of the last leaf whose first key is at most this key, else 0; -1 if there are no leaves. */
    static int leafFor(IndexLeaf[] leaves, int leafCount, byte[] key) {
        int low = 0;
        int high = leafCount - 1;
        while (low < high) {
            int middle = low + high + 1 >>> 1;
            if (leaves[middle].compare(0, key) <= 0) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return leafCount == 0 ? -1 : low;
    }

    /** All entries from this key on, in unsigned byte order of the keys. */
    Iterable<Entry> entriesFrom(byte[] key) {
        return () -> new Cursor(key);
    }

    private final class Cursor implements Iterator<Entry> {
        private int leaf;
        private int slot;

        Cursor(byte[] from) {
            leaf = Math.max(0, leafFor(leaves, leaves.length, from));
            int found = leaf < leaves.length ? leaves[leaf].find(from) : 0;
            slot = found < 0 ? IndexLeaf.insertionSlot(found) : found;
        }

        @Override public boolean hasNext() {
            while (leaf < leaves.length && slot >= leaves[leaf].count()) {
                leaf++;
                slot = 0;
            }
            return leaf < leaves.length;
        }

        @Override public Entry next() {
            if (!hasNext()) {
                throw new NoSuchElementException();
            }
            Entry entry = new Entry(leaves[leaf].key(slot), leaves[leaf].location(slot));
            slot++;
            return entry;
        }
    }
}
