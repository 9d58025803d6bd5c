package kelphollow.store;

import java.util.Arrays;

/**
 * Sorts the entries of a hint by key, and the entries of one key by descending sequence, without allocating an object per
 * entry. Sorts 64-bit numbers that combine the key bytes after the common prefix with the entry's position, and compares
 * whole keys only where these bytes are equal. For one use by one thread; takes 12 bytes per entry while it runs.
 */
final class EntrySort {
    private final byte[] bytes;
    private final int[] at;
    private final int count;

    private EntrySort(byte[] bytes, int[] at, int count) {
        this.bytes = bytes;
        this.at = at;
        this.count = count;
    }

    /** Returns the first {@code count} offsets of {@code at} in the order of the entries that begin there. */
    static int[] sorted(byte[] bytes, int[] at, int count) {
        return new EntrySort(bytes, at, count).sort();
    }

    private int keyAt(int entry) {
        return entry + SegmentHint.ENTRY_HEADER_BYTES;
    }

    private int keyEnd(int entry) {
        return keyAt(entry) + Format.int32(bytes, entry + SegmentHint.KEY_LENGTH_AT);
    }

    private int[] sort() {
        int common = commonPrefix();
        int positionBits = Integer.SIZE - Integer.numberOfLeadingZeros(count);
        long positionMask = (1L << positionBits) - 1;
        long[] sortKeys = new long[count];
        for (int i = 0; i < count; i++) {
            long prefix = Format.prefix(bytes, keyAt(at[i]) + common, keyEnd(at[i]));
            // The sign bit is flipped because the sort is signed.
            sortKeys[i] = (prefix & ~positionMask | i) ^ Long.MIN_VALUE;
        }
        Arrays.sort(sortKeys);
        int[] sorted = new int[count];
        for (int i = 0; i < count; i++) {
            sorted[i] = at[(int) (sortKeys[i] & positionMask)];
        }
        sortEqualPrefixes(sortKeys, positionMask, sorted);
        return sorted;
    }

    private void sortEqualPrefixes(long[] sortKeys, long positionMask, int[] sorted) {
        int from = 0;
        while (from < count) {
            int to = from + 1;
            while (to < count && (sortKeys[to] & ~positionMask) == (sortKeys[from] & ~positionMask)) {
                to++;
            }
            if (to - from > 1) {
                sortByKey(sorted, from, to);
            }
            from = to;
        }
    }

    /** Length in bytes of the common prefix of all keys. */
    private int commonPrefix() {
        int common = count == 0 ? 0 : keyEnd(at[0]) - keyAt(at[0]);
        for (int i = 1; i < count && common > 0; i++) {
            int first = keyAt(at[0]);
            int key = keyAt(at[i]);
            int longest = Math.min(common, keyEnd(at[i]) - key);
            int mismatch = Arrays.mismatch(bytes, first, first + longest, bytes, key, key + longest);
            common = mismatch < 0 ? longest : mismatch;
        }
        return common;
    }

    private void sortByKey(int[] sorted, int from, int to) {
        Integer[] range = new Integer[to - from];
        for (int i = from; i < to; i++) {
            range[i - from] = sorted[i];
        }
        Arrays.sort(range, this::compare);
        for (int i = from; i < to; i++) {
            sorted[i] = range[i - from];
        }
    }

    private int compare(int left, int right) {
        int order = Arrays.compareUnsigned(bytes, keyAt(left), keyEnd(left), bytes, keyAt(right), keyEnd(right));
        return order != 0 ? order : Long.compare(sequence(right), sequence(left));
    }

    private long sequence(int entry) {
        return Format.int64(bytes, entry + SegmentHint.SEQUENCE_AT);
    }
}
