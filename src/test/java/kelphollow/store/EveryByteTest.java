package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Damages one file of one copy: truncates it at every length, flips bits of every byte, or deletes it. No acknowledged
 * value may be lost, no removed key may reappear, and a second opening must change nothing.
 */
class EveryByteTest {
    /** Number of bits flipped in each byte; more in the profile {@code campaign}. */
    private static final int BITS = Integer.getInteger("kelphollow.bits", 2);
    /** Number of steps that fill the store; more in the profile {@code campaign}. */
    private static final int STEPS = Integer.getInteger("kelphollow.steps", 30);
    private static final int DEFAULT_STEPS = 30;

    /** A compacted store with every kind of record, several segments, and hints. */
    private static StoreHarness sample(boolean closed, StoreOptions options, int steps) throws Exception {
        StoreHarness harness = new StoreHarness();
        harness.options = options;
        harness.open();
        for (int i = 0; i < steps; i++) {
            harness.put("outcomes", "request" + i % 9, "ran " + i);
            if (i % 4 == 1) {
                harness.remove("outcomes", "request" + (i + 3) % 9);
            }
            if (i % 5 == 2) {
                Batch batch = new Batch()
                    .put("parts", StoreHarness.bytes("u#" + i), StoreHarness.bytes("intent"), 9_000_000);
                harness.write(StoreHarness.put(batch, "limits", "volume", "level " + i), Durability.BUFFERED);
            }
            if (i == steps / 2) {
                harness.store.compactAll();
                harness.store.runMaintenance();
            }
        }
        harness.store.runMaintenance();
        if (closed) {
            harness.store.close();
        }
        return harness;
    }

    /** Opens damaged copies; asserts that no data is lost, that a second opening changes nothing, and that writes work. */
    private static void assertRepaired(StoreHarness sample, MemoryDisk first, MemoryDisk second, String context) {
        try {
            StoreHarness harness = new StoreHarness().useDisks(first, second);
            harness.options = sample.options;
            harness.now = sample.now;
            harness.open();
            assertEquals(sample.model, StoreHarness.contents(harness.store), context);
            harness.store.scrub(new IntegrityReport());
            harness.store.close();
            assertSecondOpeningChangesNothing(harness, sample.model, context);
            harness.model.putAll(sample.model);
            harness.open();
            assertNull(harness.put("outcomes", "after", "1"));
            harness.killAndReopen();
            harness.assertHoldsModel();
        } catch (IOException | StoreFault | RuntimeException e) {
            throw new AssertionError(context, e);
        }
    }

    private static void assertSecondOpeningChangesNothing(StoreHarness harness, Map<String, String> model, String context)
        throws IOException, StoreFault {
        MemoryDisk firstBefore = harness.first.copy(new MemoryDisk.Faults());
        MemoryDisk secondBefore = harness.second.copy(new MemoryDisk.Faults());
        harness.open();
        assertEquals(model, StoreHarness.contents(harness.store), context + ", second opening");
        IntegrityReport report = harness.store.report();
        assertEquals(0, report.repairedFiles(), context + ": " + report.findings());
        harness.store.close();
        assertTrue(firstBefore.hasSameFiles(harness.first) && secondBefore.hasSameFiles(harness.second),
            context + ": a second opening changes nothing");
    }

    private static void assertAllDamageIsRepaired(StoreHarness sample, int bits) {
        AtomicLong openings = new AtomicLong();
        for (int side = 0; side < 2; side++) {
            MemoryDisk disk = side == 0 ? sample.first : sample.second;
            for (String name : disk.names()) {
                byte[] intact = disk.bytes(name);
                int damagedSide = side;
                IntStream.rangeClosed(0, intact.length).parallel()
                    .forEach(at -> openings.addAndGet(damageAt(sample, damagedSide, name, intact, at, bits)));
                assertRepaired(sample, side, name, null, "missing");
                assertRepaired(sample, side, name, Arrays.copyOf(intact, intact.length + 700), "700 zeros appended");
            }
        }
        if (STEPS > DEFAULT_STEPS) {
            System.out.println(openings + " damaged stores of " + sample.first.names().size()
                + " files in each folder, " + bits + " bits of each byte: all recovered");
        }
    }

    /** Truncates the file at this offset, then flips bits of the byte at it, if any; returns the number of stores tried. */
    private static int damageAt(StoreHarness sample, int side, String name, byte[] intact, int at, int bits) {
        int stores = 0;
        assertRepaired(sample, side, name, Arrays.copyOf(intact, Math.min(at, intact.length)), "truncated at " + at);
        for (int bit = 0; bit < Byte.SIZE && at < intact.length; bit += Byte.SIZE / bits) {
            byte[] flipped = intact.clone();
            flipped[at] ^= (byte) (1 << bit);
            assertRepaired(sample, side, name, flipped, "bit " + bit + " flipped at " + at);
            stores++;
        }
        return stores + 1;
    }

    /** Replaces one file by these bytes, or deletes it if they are null, and asserts that it is repaired. */
    private static void assertRepaired(StoreHarness sample, int side, String name, byte[] bytes, String context) {
        MemoryDisk.Faults faults = new MemoryDisk.Faults();
        MemoryDisk first = sample.first.copy(faults);
        MemoryDisk second = sample.second.copy(faults);
        MemoryDisk damaged = side == 0 ? first : second;
        if (bytes == null) {
            damaged.remove(name);
        } else {
            damaged.set(name, bytes);
        }
        assertRepaired(sample, first, second, (side == 0 ? "a/" : "b/") + name + " " + context);
    }

    @ParameterizedTest @ValueSource(booleans = {true, false}) void damageOfOneFileLosesNothing(boolean closed)
        throws Exception {
        StoreHarness sample = sample(closed, StoreHarness.SMALL, STEPS);
        assertTrue(sample.first.names(".seg").size() >= 3, sample.first.names().toString());
        assertAllDamageIsRepaired(sample, BITS);
    }

    @Test void damageOfOneFileLosesNothingWhenAnOpeningReadsHints() throws Exception {
        StoreHarness sample = sample(false, StoreHarness.SMALL.withCheckAll(false), STEPS);
        assertFalse(sample.first.names(".hint").isEmpty(), sample.first.names().toString());
        assertAllDamageIsRepaired(sample, BITS / 2);
    }

    @Test void eachOfTheEightBitsIsRepaired() throws Exception {
        StoreHarness sample = sample(true, StoreHarness.SMALL, 4);
        assertAllDamageIsRepaired(sample, Byte.SIZE);
    }

    @Test void anEmptyFolderIsRestoredFromTheOther() throws Exception {
        StoreHarness sample = sample(false, StoreHarness.SMALL, 24);
        assertRepaired(sample, new MemoryDisk("a", new MemoryDisk.Faults()),
            sample.second.copy(new MemoryDisk.Faults()), "a is new");
        assertRepaired(sample, sample.first.copy(new MemoryDisk.Faults()),
            new MemoryDisk("b", new MemoryDisk.Faults()), "b is new");
    }

    /** Damage of one record in both copies must be reported, and opening must fail until the operator accepts the loss. */
    @Test void damageOfOneRecordInBothCopiesIsReportedAndFailsClosed() throws Exception {
        StoreHarness sample = sample(true, StoreHarness.SMALL, 24);
        Manifest manifest = Manifest.read(sample.first.bytes(Manifest.NAME)).manifest();
        for (String name : sample.first.names(".seg")) {
            byte[] intact = sample.first.bytes(name);
            SegmentMerge merge = new SegmentMerge(intact, intact, manifest.store(), manifest.entry(Format.idOf(name)));
            for (SegmentMerge.Frame frame : merge.frames()) {
                if (frame.type() != Format.COMMIT_MARKER) {
                    assertFailsClosed(damageBoth(sample, name, frame.at() + 3), name, frame);
                    assertFailsClosed(damageBoth(sample, name, frame.payloadAt() + 5), name, frame);
                    assertFailsClosed(damageBoth(sample, name, frame.end() - 1), name, frame);
                }
            }
        }
    }

    private static void assertFailsClosed(StoreHarness harness, String name, SegmentMerge.Frame frame)
        throws IOException, StoreFault {
        StoreFault fault = assertThrows(StoreFault.class, harness::open);
        assertEquals(StoreFault.Kind.DAMAGED, fault.kind());
        assertTrue(fault.getMessage().startsWith("damaged a/" + name + " offset=" + frame.at() + " sequence="),
            fault.getMessage());
        IntegrityReport report =
            Store.inspect(harness.first, harness.second, harness.options, ProgressListener.NONE).report();
        assertTrue(report.isDamaged());
        harness.openAcceptingLoss();
        Map<String, String> left = StoreHarness.contents(harness.store);
        harness.store.close();
        harness.open();
        assertEquals(left, StoreHarness.contents(harness.store), "a later opening needs no acceptance");
        assertEquals(List.of(), harness.store.report().findings());
        harness.store.close();
    }

    private static StoreHarness damageBoth(StoreHarness sample, String name, int at) {
        MemoryDisk.Faults faults = new MemoryDisk.Faults();
        StoreHarness harness = new StoreHarness().useDisks(sample.first.copy(faults), sample.second.copy(faults));
        for (MemoryDisk disk : List.of(harness.first, harness.second)) {
            byte[] bytes = disk.bytes(name).clone();
            bytes[at] ^= 0x10;
            disk.set(name, bytes);
        }
        return harness;
    }

    @Test void damageOfOneRecordInDifferentPlacesOfTheCopiesIsRepairedFromBoth() throws Exception {
        StoreHarness sample = sample(true, StoreHarness.SMALL, 24);
        String name = sample.first.names(".seg").get(0);
        MemoryDisk first = sample.first.copy(new MemoryDisk.Faults());
        MemoryDisk second = sample.second.copy(new MemoryDisk.Faults());

        first.bytes(name)[Format.SEGMENT_HEADER_BYTES + 9] ^= 1;                       // frame header
        second.bytes(name)[Format.SEGMENT_HEADER_BYTES + Format.FRAME_HEADER_BYTES + 9] ^= 1;  // payload of the same frame

        assertRepaired(sample, first, second, "header in one copy, payload in the other");
    }

    @ParameterizedTest @ValueSource(ints = {Integer.MAX_VALUE, 1 << 20, -1,
        Integer.MIN_VALUE}) void aFrameLengthBeyondTheFileIsRejected(
            int length) throws Exception {
        StoreHarness sample = sample(false, StoreHarness.SMALL, 24);
        for (String name : sample.first.names(".seg")) {
            byte[] bytes = sample.first.bytes(name).clone();
            ByteBuffer.wrap(bytes).putInt(Format.SEGMENT_HEADER_BYTES, length);
            assertRepaired(sample, 0, name, bytes, "length " + length);
        }
    }

    @Test void damageOfBothManifestsFailsClosedUntilTheOperatorAcceptsARebuildFromTheSegments() throws Exception {
        StoreHarness harness = sample(true, StoreHarness.SMALL, 24);
        harness.first.bytes(Manifest.NAME)[20] ^= 1;
        harness.second.remove(Manifest.NAME);

        assertEquals(StoreFault.Kind.DAMAGED, assertThrows(StoreFault.class, harness::open).kind());

        harness.openAcceptingLoss();
        harness.assertHoldsModel();
        harness.reopen();
        harness.assertHoldsModel();
    }
}
