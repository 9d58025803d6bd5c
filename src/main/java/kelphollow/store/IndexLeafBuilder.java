package kelphollow.store;

import java.util.ArrayList;
import java.util.List;

/** Builds the leaves of an {@link Index} from distinct keys in ascending order. Confined to one thread. */
final class IndexLeafBuilder {
    /** Three quarters of the maximum, so that later insertions between these keys do not split the leaf at once. */
    private static final int KEYS_PER_LEAF = IndexLeaf.MAX_KEYS * 3 / 4;
    private final List<IndexLeaf> leaves = new ArrayList<>();
    private IndexLeaf current;
    private int size;

    void add(byte[] from, int keyFrom, int keyTo, int segment, int offset, int length, long sequence, long expiresAt) {
        if (current == null || current.count() == KEYS_PER_LEAF) {
            finish();
            current = new IndexLeaf(leaves, KEYS_PER_LEAF, Math.max(keyTo - keyFrom, 1) * KEYS_PER_LEAF);
        }
        current.append(from, keyFrom, keyTo, segment, offset, length, sequence, expiresAt);
        size++;
    }

    /** Finishes the last leaf and trims its arrays to their contents. */
    void finish() {
        if (current != null) {
            leaves.add(current.isFilledTo(KEYS_PER_LEAF) ? current : current.copy(leaves, 0, current.count(), 0, 0));
        }
        current = null;
    }

    /** The leaves, complete after {@link #finish}. */
    List<IndexLeaf> leaves() {
        return leaves;
    }

    /** Number of keys. */
    int size() {
        return size;
    }
}
