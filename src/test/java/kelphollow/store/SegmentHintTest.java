package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Iterator;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the index that an opening merges from hints, and the rejection of invalid hints. */
class SegmentHintTest {
    private static final StoreOptions OPTIONS = StoreHarness.SMALL.withSegmentBytes(64 * 1024).withCheckAll(false);
    private final MemoryDisk.Faults faults = new MemoryDisk.Faults();
    private final MemoryDisk first = new MemoryDisk("a", faults);
    private final MemoryDisk second = new MemoryDisk("b", faults);

    /** Returns keys that share prefixes, are prefixes of each other, or differ only in trailing zeros. */
    private static byte[] key(Random random) {
        byte[] key = new byte[random.nextInt(16)];
        for (int i = 0; i < key.length; i++) {
            key[i] = (byte) (i < 7 && random.nextInt(20) > 0 ? 's' : random.nextInt(16) * 17);
        }
        return key;
    }

    /** Writes and removes random keys; returns what the store should hold. */
    private TreeMap<byte[], byte[]> fill(int operations, long seed) throws Exception {
        Random random = new Random(seed);
        TreeMap<byte[], byte[]> model = new TreeMap<>(Arrays::compareUnsigned);
        try (Store store = Store.open(first, second, OPTIONS, () -> 1)) {
            for (int i = 0; i < operations; i++) {
                byte[] key = key(random);
                byte[] value = ByteBuffer.allocate(4).putInt(i).array();
                Batch batch = new Batch();
                if (random.nextInt(4) == 0) {
                    batch.remove("t", key);
                    model.remove(key);
                } else {
                    batch.put("t", key, value);
                    model.put(key, value);
                }
                store.write(batch, Durability.BUFFERED, Runnable::run, fault -> assertNull(fault));
            }
            store.runMaintenance();
        }
        return model;
    }

    @ParameterizedTest @ValueSource(booleans = {false, true}) void anOpeningRestoresTheWrittenKeysAndValues(
        boolean checkAll) throws Exception {
        TreeMap<byte[], byte[]> model = fill(80_000, 1);
        assertTrue(model.size() > IndexLoader.MIN_PARALLEL_OPERATIONS, "enough keys for a merge in parallel key ranges: "
            + model.size());
        try (Store store = Store.open(first, second, OPTIONS.withCheckAll(checkAll), () -> 1);
             Snapshot snapshot = store.snapshot()) {
            assertTrue(store.stats().segments() > 8, "several segments were merged");
            Iterator<Map.Entry<byte[], byte[]>> expected = model.entrySet().iterator();
            snapshot.scan("t", new byte[0], (key, value) -> {
                Map.Entry<byte[], byte[]> next = expected.next();
                assertArrayEquals(next.getKey(), key);
                assertArrayEquals(next.getValue(), value);
                return true;
            });
            assertFalse(expected.hasNext(), "all " + model.size() + " keys were there");
            assertEquals(model.size() + 1, store.stats().keys(), "the keys and the table's name");
        }
    }

    /** Compaction chooses segments by their live bytes, so the merge of hints must count them as the writer did. */
    @Test void anOpeningCountsLiveBytesAsTheWriterDid() throws Exception {
        fill(5_000, 2);
        try (Store store = Store.open(first, second, OPTIONS, () -> 1)) {
            long byHints = store.stats().liveBytes();

            store.compactAll();

            assertEquals(store.stats().liveBytes(), byHints);
        }
    }

    @Test void aHintWithKeysOutOfOrderIsRejectedEvenIfItsChecksumIsValid() throws Exception {
        try (Store store = Store.open(first, second, OPTIONS, () -> 1)) {
            for (String key : new String[] {"k1", "k2", "k2"}) {
                Batch batch = new Batch().put("t", StoreHarness.bytes(key), new byte[1]);
                store.write(batch, Durability.SYNCED, Runnable::run, fault -> assertNull(fault));
            }
        }
        Manifest manifest = Manifest.read(first.bytes(Manifest.NAME)).manifest();
        Manifest.Entry entry = manifest.segments().get(0);
        byte[] image = first.bytes(Format.segmentName(entry.id()));
        SegmentMerge merge = new SegmentMerge(image, image, manifest.store(), entry);
        byte[] hint = SegmentHint.of(manifest.store(), merge, entry.id()).bytes();
        assertNotNull(SegmentHint.read(hint, manifest.store(), withHint(entry, hint)));

        // Order of the entries: the table's name, k1, and k2 twice, the later operation first.
        for (int position = 1; position < 3; position++) {
            byte[] swapped = swapWithNext(hint, position);
            assertNull(SegmentHint.read(swapped, manifest.store(), withHint(entry, swapped)),
                "entries " + position + " and the next");
        }
    }

    /** Swaps the entry at this position of a four-entry hint with the next, and updates the checksum. */
    private static byte[] swapWithNext(byte[] hint, int position) {
        byte[] bytes = hint.clone();
        int length = SegmentHint.ENTRY_HEADER_BYTES + 4;
        int at = bytes.length - 4 - (4 - position) * length;
        System.arraycopy(hint, at + length, bytes, at, length);
        System.arraycopy(hint, at, bytes, at + length, length);
        ByteBuffer.wrap(bytes).putInt(bytes.length - 4, Format.crc(bytes, 0, bytes.length - 4));
        return bytes;
    }

    private static Manifest.Entry withHint(Manifest.Entry entry, byte[] hint) {
        return new Manifest.Entry(entry.id(), entry.length(), entry.firstSequence(), 4, hint.length,
            ByteBuffer.wrap(hint).getInt(hint.length - 4));
    }
}
