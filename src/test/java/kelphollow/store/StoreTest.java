package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the store through its public API. */
class StoreTest {
    private final StoreHarness harness = new StoreHarness();

    @Test void writtenDataSurvivesReopening() throws Exception {
        harness.open();
        assertNull(harness.put("parts", "a", "1"));
        assertNull(harness.put("parts", "b", "2"));
        assertNull(harness.put("limits", "a", "3"));
        assertNull(harness.remove("parts", "a"));
        harness.assertHoldsModel();

        harness.reopen();

        harness.assertHoldsModel();
        assertEquals(Map.of("limits/a", "3", "parts/b", "2"), harness.model);
        assertNull(harness.get("parts", "a"));
        assertNull(harness.get("unknown", "a"));
        assertEquals(List.of(), harness.store.report().findings());
    }

    @Test void acknowledgedDataSurvivesAKill() throws Exception {
        harness.open();
        for (int i = 0; i < 50; i++) {
            harness.put("t" + i % 3, "key" + i % 7, "value" + i);
        }

        harness.killAndReopen();
        harness.assertHoldsModel();

        harness.killAndReopen();
        harness.assertHoldsModel();
    }

    @Test void aSecondOpeningChangesNothing() throws Exception {
        harness.open();
        for (int i = 0; i < 50; i++) {
            harness.put("t", "key" + i % 7, "value" + i);
        }
        harness.killAndReopen();
        MemoryDisk firstBefore = harness.first.copy(new MemoryDisk.Faults());
        MemoryDisk secondBefore = harness.second.copy(new MemoryDisk.Faults());

        harness.killAndReopen();
        harness.store.close();

        assertTrue(firstBefore.hasSameFiles(harness.first) && secondBefore.hasSameFiles(harness.second));
    }

    @Test void aBatchAcrossTablesIsAtomicAndTheLastChangeOfAKeyWins() throws Exception {
        harness.open();
        Batch batch = StoreHarness.put(new Batch(), "x", "k", "old").put("y", new byte[0], new byte[0]);
        StoreHarness.put(batch, "x", "k", "new").remove("z", StoreHarness.bytes("nothing"));

        assertNull(harness.write(batch, Durability.SYNCED));
        harness.killAndReopen();

        assertEquals("new", harness.get("x", "k"));
        assertEquals("", harness.get("y", ""));
        harness.assertHoldsModel();
    }

    @Test void aBatchLargerThanASegmentGetsItsOwnSegment() throws Exception {
        harness.open();

        harness.put("t", "small", "1");
        assertNull(harness.put("t", "long", "x".repeat(3_000)));
        harness.put("t", "after", "2");

        harness.killAndReopen();
        harness.assertHoldsModel();
        assertEquals(3, harness.store.stats().segments());
    }

    @Test void aBatchThatIsTooLargeIsRejectedAndNothingOfItIsWritten() throws Exception {
        harness.open();

        assertEquals(StoreFault.Kind.BATCH_TOO_LARGE, harness.put("t", "k", "x".repeat(5_000)).kind());

        assertNull(harness.put("t", "k", "y"));
        harness.killAndReopen();
        harness.assertHoldsModel();
    }

    @Test void compactionKeepsSpaceBelowTwoAndAHalfTimesTheLiveBytes() throws Exception {
        harness.options = StoreHarness.SMALL.withSegmentBytes(4_096);
        harness.open();
        double maxAmplification = 0;
        for (int i = 0; i < 6_000; i++) {
            harness.put("t", "key" + i * 7 % 200, "value" + "x".repeat(100) + i);
            harness.store.runMaintenance();
            Store.Stats stats = harness.store.stats();
            if (i > 400) {
                maxAmplification = Math.max(maxAmplification, (double) stats.bytes() / stats.liveBytes());
            }
        }
        assertTrue(maxAmplification < 2.5, "space was " + maxAmplification + " times the live bytes");
        harness.assertHoldsModel();
        harness.killAndReopen();
        harness.assertHoldsModel();
    }

    @Test void compactionReclaimsTheSpaceOfRemovedKeys() throws Exception {
        harness.options = StoreHarness.SMALL.withSegmentBytes(2_048);
        harness.open();
        harness.put("t", "for good", "1");

        for (int i = 0; i < 3_000; i++) {
            harness.put("t", "upload" + i, "x".repeat(40));
            harness.remove("t", "upload" + i);
            harness.store.runMaintenance();
        }

        assertTrue(harness.store.stats().bytes() < 10 * 2_048, "length " + harness.store.stats().bytes());
        harness.killAndReopen();
        harness.assertHoldsModel();
    }

    @Test void compactionKeepsATombstoneWhileAnOlderSegmentIsLeft() throws Exception {
        harness.options = StoreHarness.SMALL.withSegmentBytes(600);
        harness.open();
        for (int i = 0; i < 60; i++) {
            harness.put("t", "key" + i % 13, "value" + i);
            if (i % 3 == 0) {
                harness.remove("t", "key" + (i + 5) % 13);
            }
            if (i % 11 == 0) {
                harness.store.compactAll();
            }
            if (i % 7 == 0) {
                harness.killAndReopen();
                harness.assertHoldsModel();
            }
        }
    }

    @Test void aSnapshotIsUnchangedWhileCompactionReplacesItsFiles() throws Exception {
        harness.open();
        for (int i = 0; i < 40; i++) {
            harness.put("t", "key" + i, "old");
        }

        try (Snapshot snapshot = harness.store.snapshot()) {
            for (int i = 0; i < 40; i++) {
                harness.put("t", "key" + i, "new");
            }
            harness.store.compactAll();

            List<String> scanned = new ArrayList<>();
            snapshot.scan("t", StoreHarness.bytes("key3"), (key, value) -> {
                scanned.add(StoreHarness.text(key) + "=" + StoreHarness.text(value));
                return scanned.size() < 3;
            });
            assertEquals(List.of("key3=old", "key30=old", "key31=old"), scanned);
        }

        assertEquals("new", harness.get("t", "key3"));
        int files = harness.first.names().size();
        harness.killAndReopen();
        assertEquals(files, harness.first.names().size(), "the snapshot's files were deleted when it was closed");
    }

    @Test void anExpiredValueStaysExpiredWhenTheClockStepsBack() throws Exception {
        harness.open();
        byte[] key = StoreHarness.bytes("k");
        harness.write(new Batch().put("t", key, StoreHarness.bytes("old")), Durability.SYNCED);
        harness.write(new Batch().put("t", key, StoreHarness.bytes("new"), 1_005_000), Durability.SYNCED);
        assertEquals("new", harness.get("t", "k"));

        harness.now = 1_005_000;
        assertNull(harness.get("t", "k"));

        harness.now = 900_000;
        assertNull(harness.get("t", "k"));
        harness.put("t", "other", "1");
        harness.killAndReopen();
        assertNull(harness.get("t", "k"), "a commit marker recorded the time");
        harness.store.runMaintenance();
        harness.store.compactAll();
        harness.killAndReopen();
        assertNull(harness.get("t", "k"));
        assertEquals(Map.of("t/other", "1"), StoreHarness.contents(harness.store));
    }

    @Test void aFullQueueRejectsImmediatelyAndAcceptedWritesAreStored() throws Exception {
        StoreOptions options = StoreHarness.SMALL.withQueueBytes(4_096).withInline(false);
        MemoryDisk.Faults faults = new MemoryDisk.Faults();
        MemoryDisk first = new MemoryDisk("a", faults);
        List<String> accepted = Collections.synchronizedList(new ArrayList<>());
        List<StoreFault> rejected = Collections.synchronizedList(new ArrayList<>());
        Store store = Store.open(first, new MemoryDisk("b", faults), options, () -> 1);

        for (int i = 0; i < 2_000; i++) {
            String key = "key" + i;
            Batch batch = new Batch().put("t", StoreHarness.bytes(key), new byte[500]);
            store.write(batch, Durability.SYNCED, Runnable::run, fault -> {
                if (fault == null) {
                    accepted.add(key);
                } else {
                    rejected.add(fault);
                }
            });
        }
        store.close();

        assertEquals(2_000, accepted.size() + rejected.size());
        rejected.forEach(fault -> assertEquals(StoreFault.Kind.QUEUE_FULL, fault.kind()));
        Store reopened = Store.open(first, new MemoryDisk("b", faults), options, () -> 1);
        for (String key : accepted) {
            assertNotNull(reopened.get("t", StoreHarness.bytes(key)), key);
        }
        reopened.close();
    }

    /** The two copies are synced in parallel; after either fails, no write is acknowledged. */
    @ParameterizedTest @ValueSource(ints = {0, 1}) void aFailedSyncOfEitherCopyFailsAllWaitingAndLaterWrites(int failing)
        throws Exception {
        MemoryDisk.Faults[] faults = {new MemoryDisk.Faults(), new MemoryDisk.Faults()};
        MemoryDisk[] disks = {new MemoryDisk("a", faults[0]), new MemoryDisk("b", faults[1])};
        Store store = Store.open(disks[0], disks[1], StoreHarness.SMALL.withInline(false), () -> 1);
        assertNull(write(store, "before"));

        faults[failing].kind = MemoryDisk.Faults.Kind.SYNC_FAILS;
        faults[failing].firstFailing = faults[failing].operations;
        assertEquals(StoreFault.Kind.IO_FAILURE, write(store, "during").kind(), disks[failing].path());
        faults[failing].firstFailing = Integer.MAX_VALUE;
        assertEquals(StoreFault.Kind.IO_FAILURE, write(store, "after").kind(), disks[failing].path());
        store.close();

        MemoryDisk.Faults none = new MemoryDisk.Faults();
        try (Store reopened = Store.open(disks[0].copy(none), disks[1].copy(none), StoreHarness.SMALL, () -> 1)) {
            assertNotNull(reopened.get("t", StoreHarness.bytes("before")));
            assertNull(reopened.get("t", StoreHarness.bytes("after")));
        }
    }

    private static StoreFault write(Store store, String key) {
        CompletableFuture<StoreFault> result = new CompletableFuture<>();
        Batch batch = new Batch().put("t", StoreHarness.bytes(key), new byte[9]);
        store.write(batch, Durability.SYNCED, Runnable::run, result::complete);
        return result.join();
    }

    @Test void scrubbingRunsWhenItIsDueAndRepairsSegmentsAndHints() throws Exception {
        MemoryDisk.Faults faults = new MemoryDisk.Faults();
        MemoryDisk first = new MemoryDisk("a", faults);
        MemoryDisk second = new MemoryDisk("b", faults);
        long[] now = {1};
        StoreOptions options = StoreHarness.SMALL.withScrubIntervalMillis(1_000);
        try (Store store = Store.open(first, second, options, () -> now[0])) {
            for (int i = 0; i < 20; i++) {
                Batch batch = new Batch().put("t", StoreHarness.bytes("k" + i), new byte[200]);
                store.write(batch, Durability.SYNCED, Runnable::run, fault -> assertNull(fault));
            }
            store.runMaintenance();
            String segment = first.names(".seg").get(0);
            for (String name : List.of(segment, segment.replace(".seg", ".hint"))) {
                byte[] bytes = second.bytes(name);
                bytes[bytes.length / 2] ^= 4;         // in place, since the store has the file open
            }

            now[0] += 999;
            store.runMaintenance();
            assertFalse(first.hasSameFiles(second), "scrubbing is not due yet");

            now[0]++;
            store.runMaintenance();
            assertTrue(first.hasSameFiles(second));
        }
    }

    @Test void writesAfterClosingAreRejected() throws Exception {
        harness.open();
        harness.put("t", "k", "v");

        harness.store.close();

        assertEquals(StoreFault.Kind.CLOSED, harness.put("t", "k", "w").kind());
    }
}
