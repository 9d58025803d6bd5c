package kelphollow.store;

import java.util.Arrays;

/**
 * Sorts the entries of a hint by key, of one key the latest first, without an object for each: numbers made of the bytes
 * behind the keys' common prefix, and of the entry's position, are sorted as numbers; only where those are equal are the
 * keys themselves compared. One use, one thread; 12 bytes per entry while it runs.
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

    /** Where the first {@code count} entries that {@code at} names begin, in the order of their keys. */
    static int[] sorted(byte[] bytes, int[] at, int count) {
        return new EntrySort(bytes, at, count).sort();
    }

    private int keyAt(int entry) {
        return entry + SegmentHint.ENTRY;
    }

    private int keyEnd(int entry) {
        return keyAt(entry) + Format.int32(bytes, entry + SegmentHint.KEY_LENGTH_AT);
    }

    private int[] sort() {
        int common = commonPrefix();
        int positionBits = Integer.SIZE - Integer.numberOfLeadingZeros(count);
        long positionMask = (1L << positionBits) - 1;
        long[] numbers = new long[count];
        for (int i = 0; i < count; i++) {
            long prefix = Format.prefix(bytes, keyAt(at[i]) + common, keyEnd(at[i]));
            // The sign bit is flipped because the sort is signed.
            numbers[i] = (prefix & ~positionMask | i) ^ Long.MIN_VALUE;
        }
        Arrays.sort(numbers);
        int[] sorted = new int[count];
        for (int i = 0; i < count; i++) {
            sorted[i] = at[(int) (numbers[i] & positionMask)];
        }
        sortEqualPrefixes(numbers, positionMask, sorted);
        return sorted;
    }

    private void sortEqualPrefixes(long[] numbers, long positionMask, int[] sorted) {
        int from = 0;
        while (from < count) {
            int to = from + 1;
            while (to < count && (numbers[to] & ~positionMask) == (numbers[from] & ~positionMask)) {
                to++;
            }
            if (to - from > 1) {
                sortByKey(sorted, from, to);
            }
            from = to;
        }
    }

    /** Length of the prefix that all keys have in common. */
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
