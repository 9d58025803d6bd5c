package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The index that an opening merges from hints, and hints that are not believed. */
class SegmentHintTest {
    private static final StoreOptions OPTIONS = StoreHarness.SMALL.withSegmentBytes(64 * 1024).withCheckAll(false);
    private final MemoryDisk.Faults faults = new MemoryDisk.Faults();
    private final MemoryDisk a = new MemoryDisk("a", faults), b = new MemoryDisk("b", faults);

    /** Keys that begin alike, are the beginning of each other, or differ in zeros at their end only. */
    private static byte[] key(Random random) {
        byte[] key = new byte[random.nextInt(16)];
        for (int i = 0; i < key.length; i++) {
            key[i] = (byte) (i < 7 && random.nextInt(20) > 0 ? 's' : random.nextInt(16) * 17);
        }
        return key;
    }

    private TreeMap<byte[], byte[]> fill(int operations, long seed) throws Exception {
        Random random = new Random(seed);
        TreeMap<byte[], byte[]> model = new TreeMap<>(Arrays::compareUnsigned);
        try (Store store = Store.open(a, b, OPTIONS, () -> 1)) {
            for (int i = 0; i < operations; i++) {
                byte[] key = key(random), value = ByteBuffer.allocate(4).putInt(i).array();
                boolean removes = random.nextInt(4) == 0;
                store.write(removes ? new Batch().remove("t", key) : new Batch().put("t", key, value), Durability.BUFFERED,
                    Runnable::run, fault -> assertNull(fault));
                if (removes) {
                    model.remove(key);
                } else {
                    model.put(key, value);
                }
            }
            store.tidy();
        }
        return model;
    }

    @Test void anOpeningFindsWhatAMapHoldsByHintsAndByReading() throws Exception {
        TreeMap<byte[], byte[]> model = fill(80_000, 1);
        assertTrue(model.size() > IndexLoader.WORTH_CUTTING, "cut into ranges of keys: " + model.size());
        for (boolean all : new boolean[] {false, true}) {
            try (Store store = Store.open(a, b, OPTIONS.withCheckAll(all), () -> 1); Snapshot now = store.snapshot()) {
                assertTrue(store.stats().segments() > 8, "several segments were merged");
                var expected = model.entrySet().iterator();
                now.scan("t", new byte[0], (key, value) -> {
                    var next = expected.next();
                    assertArrayEquals(next.getKey(), key);
                    assertArrayEquals(next.getValue(), value);
                    return true;
                });
                assertFalse(expected.hasNext(), "all " + model.size() + " keys were there");
                assertEquals(model.size() + 1, store.stats().keys(), "and the table's name");
            }
        }
    }

    /** What is live in each segment decides what compaction takes: the merge must count it as writing did. */
    @Test void anOpeningCountsWhatIsLiveAsTheWriterDid() throws Exception {
        fill(5_000, 2);
        try (Store store = Store.open(a, b, OPTIONS, () -> 1)) {
            long byHints = store.stats().live();
            store.compactAll();
            assertEquals(store.stats().live(), byHints);
        }
    }

    @Test void aHintWhoseKeysAreOutOfOrderIsRefusedThoughItsChecksumHolds() throws Exception {
        try (Store store = Store.open(a, b, OPTIONS, () -> 1)) {
            for (String key : new String[] {"k1", "k2", "k2"}) {
                store.write(new Batch().put("t", StoreHarness.bytes(key), new byte[1]), Durability.SYNCED, Runnable::run,
                    f -> {});
            }
        }
        Manifest manifest = Manifest.read(a.bytes(Manifest.NAME)).manifest();
        Manifest.Entry entry = manifest.segments().get(0);
        byte[] image = a.bytes(Format.segmentName(entry.id()));
        SegmentHint hint = SegmentHint.of(manifest.store(), new SegmentMerge(image, image, manifest.store(), entry), entry
            .id());
        assertNotNull(SegmentHint.read(hint.bytes(), manifest.store(), named(entry, hint.bytes())));
        // The name of the table comes first, then k1, and k2 twice, the later first.
        for (int wrong = 1; wrong < 3; wrong++) {
            byte[] bytes = hint.bytes().clone();
            int length = SegmentHint.ENTRY + 4, at = bytes.length - 4 - (4 - wrong) * length;
            byte[] one = Arrays.copyOfRange(bytes, at, at + length);
            System.arraycopy(bytes, at + length, bytes, at, length);
            System.arraycopy(one, 0, bytes, at + length, length);
            ByteBuffer.wrap(bytes).putInt(bytes.length - 4, Format.crc(bytes, 0, bytes.length - 4));
            assertNull(SegmentHint.read(bytes, manifest.store(), named(entry, bytes)), "entries " + wrong + " and the next");
        }
    }

    private static Manifest.Entry named(Manifest.Entry entry, byte[] hint) {
        return new Manifest.Entry(entry.id(), entry.length(), entry.firstSequence(), 4, hint.length,
            ByteBuffer.wrap(hint).getInt(hint.length - 4));
    }
}
