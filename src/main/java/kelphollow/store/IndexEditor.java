package kelphollow.store;

import java.util.Arrays;

/** Builds the next version of an {@link Index} by copy-on-write; published leaves never change. Confined to one thread. */
final class IndexEditor {
    private static final int MIN_LEAVES = 16;
    /** Capacity of the first leaf: number of keys, and bytes that each may be longer than the first key. */
    private static final int FIRST_LEAF_KEYS = 16;
    private static final int FIRST_LEAF_SPARE_BYTES = 4;
    /** Spare capacity of the right leaf after a split, in keys and bytes. */
    private static final int SPLIT_SPARE_KEYS = 4;
    private static final int SPLIT_SPARE_BYTES = 64;
    /** A leaf with fewer keys is merged with the next one if the result has at most {@link #MAX_MERGED}. */
    private static final int MIN_KEYS = IndexLeaf.MAX_KEYS / 4;
    private static final int MAX_MERGED = IndexLeaf.MAX_KEYS / 2;
    private static final int MIN_SPARE_KEYS = 4;

    private IndexLeaf[] leaves;
    private int leafCount;
    private int size;
    /** Identifies the leaves made since the last publication, which may be changed in place. */
    private Object owner = new Object();

    IndexEditor(Index from) {
        leaves = Arrays.copyOf(from.leaves(), Math.max(MIN_LEAVES, from.leaves().length));
        leafCount = from.leaves().length;
        size = from.size();
    }

    int size() {
        return size;
    }

    /** The location of a key, or null. */
    Index.Location get(byte[] key) {
        return Index.find(leaves, leafCount, key);
    }

    /** Sets the location of a key and returns the one it had, or null. */
    Index.Location put(byte[] key, Index.Location location) {
        if (leafCount == 0) {
            insertLeaf(0, new IndexLeaf(owner, FIRST_LEAF_KEYS, FIRST_LEAF_KEYS * (key.length + FIRST_LEAF_SPARE_BYTES)));
        }
        int position = Index.leafFor(leaves, leafCount, key);
        int slot = leaves[position].find(key);
        if (slot >= 0) {
            IndexLeaf leaf = writableLeaf(position, 0, 0);
            Index.Location old = leaf.location(slot);
            leaf.set(slot, location);
            return old;
        }
        slot = IndexLeaf.insertionSlot(slot);
        if (leaves[position].count() >= IndexLeaf.MAX_KEYS) {
            split(position, slot);
            position = Index.leafFor(leaves, leafCount, key);
            slot = IndexLeaf.insertionSlot(leaves[position].find(key));
        }
        writableLeaf(position, 1, key.length).insert(slot, key, location);
        size++;
        return null;
    }

    /** Removes a key and returns its location, or null if there was none. */
    Index.Location remove(byte[] key) {
        int position = Index.leafFor(leaves, leafCount, key);
        int slot = position < 0 ? -1 : leaves[position].find(key);
        if (slot < 0) {
            return null;
        }
        IndexLeaf leaf = writableLeaf(position, 0, 0);
        Index.Location old = leaf.location(slot);
        leaf.remove(slot);
        size--;
        if (leaf.count() == 0) {
            dropLeaf(position);
        } else if (leaf.count() < MIN_KEYS) {
            mergeWithNext(position);
        }
        return old;
    }

    /** Returns the leaf itself if this editor owns it and it has the required room, else a copy that this editor owns. */
    private IndexLeaf writableLeaf(int position, int moreKeys, int moreKeyBytes) {
        IndexLeaf leaf = leaves[position];
        if (leaf.isOwnedBy(owner) && (moreKeys == 0 || leaf.hasRoomFor(moreKeyBytes))) {
            return leaf;
        }
        int count = leaf.count();
        int spareKeys = 0;
        int spareBytes = 0;
        if (moreKeys > 0) {
            int meanKey = count == 0 ? moreKeyBytes : leaf.keyBytes() / count + 1;
            spareKeys = Math.min(IndexLeaf.MAX_KEYS - count, Math.max(MIN_SPARE_KEYS, count / 4));
            spareBytes = Math.max(moreKeyBytes, spareKeys * meanKey);
        }
        leaves[position] = leaf.copy(owner, 0, count, spareKeys, spareBytes);
        return leaves[position];
    }

    /** Splits a leaf in the middle; at its end for an insertion there, so that keys added in order leave full leaves. */
    private void split(int position, int insertAt) {
        IndexLeaf leaf = leaves[position];
        int middle = leaf.count() / 2;
        if (insertAt == leaf.count()) {
            middle = leaf.count() - 1;
        } else if (insertAt == 0) {
            middle = 1;
        }
        IndexLeaf right = leaf.copy(owner, middle, leaf.count(), SPLIT_SPARE_KEYS, SPLIT_SPARE_BYTES);
        leaves[position] = leaf.copy(owner, 0, middle, 0, 0);
        insertLeaf(position + 1, right);
    }

    private void mergeWithNext(int position) {
        if (position + 1 >= leafCount || leaves[position].count() + leaves[position + 1].count() > MAX_MERGED) {
            return;
        }
        IndexLeaf leaf = leaves[position];
        IndexLeaf next = leaves[position + 1];
        IndexLeaf merged = leaf.copy(owner, 0, leaf.count(), next.count(), next.keyBytes());
        for (int i = 0; i < next.count(); i++) {
            merged.insert(merged.count(), next.key(i), next.location(i));
        }
        leaves[position] = merged;
        dropLeaf(position + 1);
    }

    private void insertLeaf(int position, IndexLeaf leaf) {
        if (leafCount == leaves.length) {
            leaves = Arrays.copyOf(leaves, leafCount * 2);
        }
        System.arraycopy(leaves, position, leaves, position + 1, leafCount - position);
        leaves[position] = leaf;
        leafCount++;
    }

    private void dropLeaf(int position) {
        System.arraycopy(leaves, position + 1, leaves, position, leafCount - position - 1);
        leafCount--;
        leaves[leafCount] = null;
    }

    /** Publishes the current index; later changes copy its leaves. */
    Index publish() {
        owner = new Object();
        return new Index(Arrays.copyOf(leaves, leafCount), size);
    }
}
