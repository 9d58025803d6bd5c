package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Damage to any one file: cut at every length, every bit of every byte flipped, gone. Nothing acknowledged may be lost,
 * nothing that was removed may come back, and opening once more must change nothing.
 */
class EveryByteTest {
    /** How many bits of each byte are flipped, and how large the store is: more in the profile {@code campaign}. */
    private static final int BITS = Integer.getInteger("kelphollow.bits", 2);
    private static final int STEPS = Integer.getInteger("kelphollow.steps", 30);

    /** A store with every kind of record, several segments, hints, and a compaction behind it. */
    private static StoreHarness sample(boolean closed, StoreOptions options, int steps) throws Exception {
        StoreHarness rig = new StoreHarness();
        rig.options = options;
        rig.open();
        for (int i = 0; i < steps; i++) {
            rig.put("outcomes", "request" + i % 9, "ran " + i);
            if (i % 4 == 1) {
                rig.remove("outcomes", "request" + (i + 3) % 9);
            }
            if (i % 5 == 2) {
                rig.write(new Batch().put("parts", StoreHarness.bytes("u#" + i), StoreHarness.bytes("intent"), 9_000_000)
                    .put("limits", StoreHarness.bytes("volume"), StoreHarness.bytes("level " + i)), Durability.BUFFERED);
            }
            if (i == steps / 2) {
                rig.store.compactAll();
                rig.store.tidy();
            }
        }
        rig.store.tidy();
        if (closed) {
            rig.store.close();
        }
        return rig;
    }

    /** Opens damaged copies; both the contents and the second opening must be as they should. */
    private static void check(StoreHarness sample, MemoryDisk a, MemoryDisk b, String what) {
        try {
            StoreHarness rig = new StoreHarness().on(a, b);
            rig.options = sample.options;
            rig.now = sample.now;
            rig.open();
            assertEquals(sample.model, StoreHarness.contents(rig.store), what);
            rig.store.scrub(new Report());
            rig.store.close();
            MemoryDisk once = a.copy(new MemoryDisk.Faults()), onceB = b.copy(new MemoryDisk.Faults());
            rig.open();
            assertEquals(sample.model, StoreHarness.contents(rig.store), what + ", second opening");
            assertEquals(0, rig.store.report().repairedFiles(), what + ": " + rig.store.report().lines());
            rig.store.close();
            assertTrue(once.isSame(a) && onceB.isSame(b), what + ": a second opening changes nothing");
            rig.model.putAll(sample.model);
            rig.open();
            assertNull(rig.put("outcomes", "after", "1"));
            rig.kill();
            rig.assertHoldsModel();
        } catch (Exception e) {
            throw new AssertionError(what, e);
        }
    }

    private static void damageAll(StoreHarness sample, int bits) {
        AtomicLong openings = new AtomicLong();
        for (int side = 0; side < 2; side++) {
            int damaged = side;
            MemoryDisk from = side == 0 ? sample.a : sample.b;
            for (String name : from.names()) {
                byte[] whole = from.bytes(name);
                IntStream.rangeClosed(0, whole.length).parallel().forEach(at -> {
                    with(sample, damaged, name, Arrays.copyOf(whole, Math.min(at, whole.length)), "cut at " + at);
                    for (int bit = 0; bit < 8 && at < whole.length; bit += 8 / bits) {
                        byte[] flipped = whole.clone();
                        flipped[at] ^= (byte) (1 << bit);
                        with(sample, damaged, name, flipped, "bit " + bit + " flipped at " + at);
                        openings.incrementAndGet();
                    }
                    openings.incrementAndGet();
                });
                with(sample, side, name, null, "gone");
                with(sample, side, name, Arrays.copyOf(whole, whole.length + 700), "700 zeros behind");
            }
        }
        if (STEPS > 30) {
            System.out.println(openings + " damaged stores of " + sample.a.names().size() + " files in each folder, "
                + bits + " bits of each byte: all recovered");
        }
    }

    private static void with(StoreHarness sample, int side, String name, byte[] bytes, String what) {
        MemoryDisk.Faults faults = new MemoryDisk.Faults();
        MemoryDisk a = sample.a.copy(faults), b = sample.b.copy(faults);
        MemoryDisk target = side == 0 ? a : b;
        if (bytes == null) {
            target.remove(name);
        } else {
            target.set(name, bytes);
        }
        check(sample, a, b, (side == 0 ? "a/" : "b/") + name + " " + what);
    }

    @ParameterizedTest @ValueSource(booleans = {true, false}) void nothingIsLostByDamageToOneFile(boolean closed)
        throws Exception {
        StoreHarness sample = sample(closed, StoreHarness.SMALL, STEPS);
        assertTrue(sample.a.names().stream().filter(n -> n.endsWith(".seg")).count() >= 3, sample.a.names().toString());
        damageAll(sample, BITS);
    }

    @Test void nothingIsLostByDamageToOneFileWhenOpeningReadsHints() throws Exception {
        StoreHarness sample = sample(false, StoreHarness.SMALL.withCheckAll(false), STEPS);
        assertTrue(sample.a.names().stream().anyMatch(n -> n.endsWith(".hint")), sample.a.names().toString());
        damageAll(sample, BITS / 2);
    }

    @Test void eachOfTheEightBitsIsRepaired() throws Exception {
        StoreHarness sample = sample(true, StoreHarness.SMALL, 4);
        damageAll(sample, 8);
    }

    @Test void aWholeFolderIsMadeAnewFromTheOther() throws Exception {
        StoreHarness sample = sample(false, StoreHarness.SMALL, 24);
        check(sample, new MemoryDisk("a", new MemoryDisk.Faults()), sample.b.copy(new MemoryDisk.Faults()), "a is new");
        check(sample, sample.a.copy(new MemoryDisk.Faults()), new MemoryDisk("b", new MemoryDisk.Faults()), "b is new");
    }

    /** Damage of one record in both copies must be named, and the store must stay closed until its loss is accepted. */
    @Test void damageOfOneRecordInBothCopiesIsNamedAndFailsClosed() throws Exception {
        StoreHarness sample = sample(true, StoreHarness.SMALL, 24);
        for (String name : sample.a.names()) {
            if (!name.endsWith(".seg")) {
                continue;
            }
            byte[] whole = sample.a.bytes(name);
            Manifest.Entry entry = Manifest.read(sample.a.bytes(Manifest.NAME)).manifest().entry(Format.idOf(name));
            SegmentMerge merge = new SegmentMerge(whole, whole, storeOf(sample), entry);
            for (SegmentMerge.Frame frame : merge.frames()) {
                if (frame.type() == Format.COMMIT_MARKER) {
                    continue;
                }
                for (int at : new int[] {frame.at() + 3, frame.payloadAt() + 5, frame.end() - 1}) {
                    StoreHarness rig = damaged(sample, name, at);
                    StoreFault fault = assertThrows(StoreFault.class, rig::open);
                    assertEquals(StoreFault.Kind.DAMAGED, fault.kind());
                    assertTrue(fault.getMessage().startsWith("damaged a/" + name + " offset=" + frame.at() + " sequence="),
                        fault.getMessage());
                    Report report = Store.inspect(rig.a, rig.b, rig.options, Progress.NONE).report();
                    assertTrue(report.isDamaged());
                    rig.store = Store.openAcceptingLoss(rig.a, rig.b, rig.options, () -> rig.now, Progress.NONE);
                    Map<String, String> left = StoreHarness.contents(rig.store);
                    rig.store.close();
                    rig.open();
                    assertEquals(left, StoreHarness.contents(rig.store), "what is left opens by itself");
                    assertEquals(List.of(), rig.store.report().lines());
                    rig.store.close();
                }
            }
        }
    }

    private static StoreId storeOf(StoreHarness rig) {
        return Manifest.read(rig.a.bytes(Manifest.NAME)).manifest().store();
    }

    private static StoreHarness damaged(StoreHarness sample, String name, int at) {
        MemoryDisk.Faults faults = new MemoryDisk.Faults();
        StoreHarness rig = new StoreHarness().on(sample.a.copy(faults), sample.b.copy(faults));
        for (MemoryDisk disk : new MemoryDisk[] {rig.a, rig.b}) {
            byte[] bytes = disk.bytes(name).clone();
            bytes[at] ^= 0x10;
            disk.set(name, bytes);
        }
        return rig;
    }

    @Test void aDifferentPlaceInEachCopyOfOneRecordIsRepairedFromBoth() throws Exception {
        StoreHarness sample = sample(true, StoreHarness.SMALL, 24);
        String name = sample.a.names().stream().filter(n -> n.endsWith(".seg")).findFirst().orElseThrow();
        MemoryDisk a = sample.a.copy(new MemoryDisk.Faults()), b = sample.b.copy(new MemoryDisk.Faults());
        a.bytes(name)[Format.SEGMENT_HEADER + 9] ^= 1;                      // a head here
        b.bytes(name)[Format.SEGMENT_HEADER + Format.FRAME_HEAD + 9] ^= 1;  // its payload there
        check(sample, a, b, "head in one, payload in the other");
    }

    @Test void aLengthThatPointsBeyondTheFileIsNeverFollowed() throws Exception {
        for (int length : new int[] {Integer.MAX_VALUE, 1 << 20, -1, Integer.MIN_VALUE}) {
            StoreHarness sample = sample(false, StoreHarness.SMALL, 24);
            for (String name : sample.a.names()) {
                if (name.endsWith(".seg")) {
                    byte[] bytes = sample.a.bytes(name).clone();
                    java.nio.ByteBuffer.wrap(bytes).putInt(Format.SEGMENT_HEADER, length);
                    with(sample, 0, name, bytes, "length " + length);
                }
            }
        }
    }

    @Test void twoManifestsThatCannotBeReadFailClosedAndAreMadeAnewFromTheSegmentsOnTheOperatorsWord() throws Exception {
        StoreHarness rig = sample(true, StoreHarness.SMALL, 24);
        rig.a.bytes(Manifest.NAME)[20] ^= 1;
        rig.b.remove(Manifest.NAME);
        assertEquals(StoreFault.Kind.DAMAGED, assertThrows(StoreFault.class, rig::open).kind());
        rig.store = Store.openAcceptingLoss(rig.a, rig.b, rig.options, () -> rig.now, Progress.NONE);
        rig.assertHoldsModel();
        rig.reopen();
        rig.assertHoldsModel();
    }
}
