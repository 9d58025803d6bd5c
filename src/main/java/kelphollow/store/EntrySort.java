package kelphollow.store;

import java.util.Arrays;

/**
 * Sorts the entries of a hint by key, of one key the latest first, without an object for each: numbers made of what
 * follows the keys' common beginning, and of the entry's place, are sorted as numbers; only where those are equal are
 * the keys themselves compared. One use, one thread; 12 bytes an entry while it runs.
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
        return new EntrySort(bytes, at, count).run();
    }

    private int keyAt(int entry) {
        return entry + SegmentHint.ENTRY;
    }

    private int keyEnd(int entry) {
        return keyAt(entry) + Format.int32(bytes, entry + 4);
    }

    private int[] run() {
        int common = common(), placeBits = 32 - Integer.numberOfLeadingZeros(count);
        long places = (1L << placeBits) - 1;
        long[] keys = new long[count];
        for (int i = 0; i < count; i++) {
            long prefix = Format.prefix(bytes, keyAt(at[i]) + common, keyEnd(at[i]));
            keys[i] = (prefix & ~places | i) ^ Long.MIN_VALUE;      // sorted as signed numbers
        }
        Arrays.sort(keys);
        int[] sorted = new int[count];
        for (int i = 0; i < count; i++) {
            sorted[i] = at[(int) (keys[i] & places)];
        }
        for (int from = 0, to; from < count; from = to) {
            to = from + 1;
            while (to < count && (keys[to] & ~places) == (keys[from] & ~places)) {
                to++;
            }
            if (to - from > 1) {
                byKey(sorted, from, to);
            }
        }
        return sorted;
    }

    /** How many bytes all keys begin with alike. */
    private int common() {
        int common = count == 0 ? 0 : keyEnd(at[0]) - keyAt(at[0]);
        for (int i = 1; i < count && common > 0; i++) {
            int first = keyAt(at[0]), key = keyAt(at[i]), most = Math.min(common, keyEnd(at[i]) - key);
            int differ = Arrays.mismatch(bytes, first, first + most, bytes, key, key + most);
            common = differ < 0 ? most : differ;
        }
        return common;
    }

    private void byKey(int[] sorted, int from, int to) {
        Integer[] some = new Integer[to - from];
        for (int i = from; i < to; i++) {
            some[i - from] = sorted[i];
        }
        Arrays.sort(some, this::compare);
        for (int i = from; i < to; i++) {
            sorted[i] = some[i - from];
        }
    }

    private int compare(int x, int y) {
        int c = Arrays.compareUnsigned(bytes, keyAt(x), keyEnd(x), bytes, keyAt(y), keyEnd(y));
        return c != 0 ? c : Long.compare(Format.int64(bytes, y + 16), Format.int64(bytes, x + 16));
    }
}
