package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** What callers of the store see. */
class StoreTest {
    private final StoreHarness rig = new StoreHarness();

    @Test void whatWasWrittenIsThereAfterAReopening() throws Exception {
        rig.open();
        assertNull(rig.put("parts", "a", "1"));
        assertNull(rig.put("parts", "b", "2"));
        assertNull(rig.put("limits", "a", "3"));
        assertNull(rig.remove("parts", "a"));
        rig.assertHoldsModel();
        rig.reopen();
        rig.assertHoldsModel();
        assertEquals(Map.of("limits/a", "3", "parts/b", "2"), rig.model);
        assertNull(rig.get("parts", "a"));
        assertNull(rig.get("unknown", "a"));
        assertEquals(List.of(), rig.store.report().lines());
    }

    @Test void whatWasAcknowledgedIsThereAfterAKill() throws Exception {
        rig.open();
        for (int i = 0; i < 50; i++) {
            rig.put("t" + i % 3, "key" + i % 7, "value" + i);
        }
        rig.kill();
        rig.assertHoldsModel();
        rig.kill();
        rig.assertHoldsModel();
    }

    @Test void aSecondOpeningChangesNothing() throws Exception {
        rig.open();
        for (int i = 0; i < 50; i++) {
            rig.put("t", "key" + i % 7, "value" + i);
        }
        rig.kill();
        MemoryDisk a = rig.a.copy(new MemoryDisk.Faults()), b = rig.b.copy(new MemoryDisk.Faults());
        rig.kill();
        rig.store.close();
        assertTrue(a.isSame(rig.a) && b.isSame(rig.b));
    }

    @Test void aBatchOverSeveralTablesIsOneRecordAndTheLaterChangeOfAKeyStands() throws Exception {
        rig.open();
        Batch batch = new Batch().put("x", StoreHarness.bytes("k"), StoreHarness.bytes("old")).put("y", new byte[0],
            new byte[0])
            .put("x", StoreHarness.bytes("k"), StoreHarness.bytes("new")).remove("z", StoreHarness.bytes("nothing"));
        assertNull(rig.write(batch, Durability.SYNCED));
        rig.kill();
        assertEquals("new", rig.get("x", "k"));
        assertEquals("", rig.get("y", ""));
        rig.assertHoldsModel();
    }

    @Test void aRecordLongerThanASegmentGetsOneOfItsOwn() throws Exception {
        rig.open();
        rig.put("t", "small", "1");
        assertNull(rig.put("t", "long", "x".repeat(3_000)));
        rig.put("t", "after", "2");
        rig.kill();
        rig.assertHoldsModel();
        assertEquals(3, rig.store.stats().segments());
    }

    @Test void aBatchBeyondTheLargestIsRefusedAndNothingOfItIsWritten() throws Exception {
        rig.open();
        assertEquals(StoreFault.Kind.TOO_LARGE, rig.put("t", "k", "x".repeat(5_000)).kind());
        assertNull(rig.put("t", "k", "y"));
        rig.kill();
        rig.assertHoldsModel();
    }

    @Test void overwritingKeepsSpaceWithinTwoAndAHalfTimesWhatIsLive() throws Exception {
        rig.options = StoreHarness.SMALL.withSegmentBytes(4_096);
        rig.open();
        double worst = 0;
        for (int i = 0; i < 6_000; i++) {
            rig.put("t", "key" + i * 7 % 200, "value" + "x".repeat(100) + i);
            rig.store.tidy();
            Store.Stats s = rig.store.stats();
            if (i > 400) {
                worst = Math.max(worst, (double) s.length() / s.live());
            }
        }
        assertTrue(worst < 2.5, "space was " + worst + " times what is live");
        rig.assertHoldsModel();
        rig.kill();
        rig.assertHoldsModel();
    }

    @Test void keysThatComeAndGoLeaveNothingBehind() throws Exception {
        rig.options = StoreHarness.SMALL.withSegmentBytes(2_048);
        rig.open();
        rig.put("t", "for good", "1");
        for (int i = 0; i < 3_000; i++) {
            rig.put("t", "upload" + i, "x".repeat(40));
            rig.remove("t", "upload" + i);
            rig.store.tidy();
        }
        assertTrue(rig.store.stats().length() < 10 * 2_048, "length " + rig.store.stats().length());
        rig.kill();
        rig.assertHoldsModel();
    }

    @Test void compactionDropsARemovalOnlyWhenNothingOlderIsLeft() throws Exception {
        rig.options = StoreHarness.SMALL.withSegmentBytes(600);
        rig.open();
        for (int i = 0; i < 60; i++) {
            rig.put("t", "key" + i % 13, "value" + i);
            if (i % 3 == 0) {
                rig.remove("t", "key" + (i + 5) % 13);
            }
            if (i % 11 == 0) {
                rig.store.compactAll();
            }
            if (i % 7 == 0) {
                rig.kill();
                rig.assertHoldsModel();
            }
        }
    }

    @Test void aSnapshotStaysAsItWasWhileCompactionReplacesItsFiles() throws Exception {
        rig.open();
        for (int i = 0; i < 40; i++) {
            rig.put("t", "key" + i, "old");
        }
        try (Snapshot snapshot = rig.store.snapshot()) {
            for (int i = 0; i < 40; i++) {
                rig.put("t", "key" + i, "new");
            }
            rig.store.compactAll();
            List<String> seen = new ArrayList<>();
            snapshot.scan("t", StoreHarness.bytes("key3"), (k, v) -> {
                seen.add(StoreHarness.text(k) + "=" + StoreHarness.text(v));
                return seen.size() < 3;
            });
            assertEquals(List.of("key3=old", "key30=old", "key31=old"), seen);
        }
        assertEquals("new", rig.get("t", "key3"));
        int files = rig.a.names().size();
        rig.kill();
        assertEquals(files, rig.a.names().size(), "the snapshot's files went when it was closed");
    }

    @Test void whatExpiresIsGoneAndDoesNotComeBackWhenTheClockGoesBack() throws Exception {
        rig.open();
        rig.write(new Batch().put("t", StoreHarness.bytes("k"), StoreHarness.bytes("old")), Durability.SYNCED);
        rig.write(new Batch().put("t", StoreHarness.bytes("k"), StoreHarness.bytes("new"), 1_005_000), Durability.SYNCED);
        assertEquals("new", rig.get("t", "k"));
        rig.now = 1_005_000;
        assertNull(rig.get("t", "k"));
        rig.now = 900_000;
        assertNull(rig.get("t", "k"));
        rig.put("t", "other", "1");
        rig.kill();
        assertNull(rig.get("t", "k"), "a commit marker kept the time");
        rig.store.tidy();
        rig.store.compactAll();
        rig.kill();
        assertNull(rig.get("t", "k"));
        assertEquals(Map.of("t/other", "1"), StoreHarness.contents(rig.store));
    }

    @Test void aFullQueueTurnsAwayAtOnceAndWhatWasTakenIsWritten() throws Exception {
        StoreOptions options = StoreHarness.SMALL.withQueueBytes(4_096).withInline(false);
        MemoryDisk.Faults faults = new MemoryDisk.Faults();
        MemoryDisk slow = new MemoryDisk("a", faults);
        List<String> taken = java.util.Collections.synchronizedList(new ArrayList<>());
        List<StoreFault> rejected = java.util.Collections.synchronizedList(new ArrayList<>());
        Store store = Store.open(slow, new MemoryDisk("b", faults), options, () -> 1);
        for (int i = 0; i < 2_000; i++) {
            String key = "key" + i;
            store.write(new Batch().put("t", StoreHarness.bytes(key), new byte[500]), Durability.SYNCED, Runnable::run,
                fault -> {
                    if (fault == null) {
                        taken.add(key);
                    } else {
                        rejected.add(fault);
                    }
                });
        }
        store.close();
        assertEquals(2_000, taken.size() + rejected.size());
        rejected.forEach(f -> assertEquals(StoreFault.Kind.BUSY, f.kind()));
        Store again = Store.open(slow, new MemoryDisk("b", faults), options, () -> 1);
        for (String key : taken) {
            assertNotNull(again.get("t", StoreHarness.bytes(key)), key);
        }
        again.close();
    }

    /** The two copies are synced side by side: whichever fails, nothing is acknowledged then or later. */
    @Test void aFailedSyncOfEitherCopyIsToldToAllThatWaitAndToAllThatCome() throws Exception {
        for (int failing = 0; failing < 2; failing++) {
            MemoryDisk.Faults[] faults = {new MemoryDisk.Faults(), new MemoryDisk.Faults()};
            MemoryDisk[] disks = {new MemoryDisk("a", faults[0]), new MemoryDisk("b", faults[1])};
            Store store = Store.open(disks[0], disks[1], StoreHarness.SMALL.withInline(false), () -> 1);
            assertNull(write(store, "before"));
            faults[failing].kind = MemoryDisk.Faults.Kind.SYNC_FAILS;
            faults[failing].at = faults[failing].operations;
            assertEquals(StoreFault.Kind.DISK, write(store, "during").kind(), disks[failing].place());
            faults[failing].at = Integer.MAX_VALUE;
            assertEquals(StoreFault.Kind.DISK, write(store, "after").kind(), disks[failing].place());
            store.close();
            MemoryDisk.Faults none = new MemoryDisk.Faults();
            try (Store again = Store.open(disks[0].copy(none), disks[1].copy(none), StoreHarness.SMALL, () -> 1)) {
                assertNotNull(again.get("t", StoreHarness.bytes("before")));
                assertNull(again.get("t", StoreHarness.bytes("after")));
            }
        }
    }

    private static StoreFault write(Store store, String key) {
        CompletableFuture<StoreFault> done = new CompletableFuture<>();
        store.write(new Batch().put("t", StoreHarness.bytes(key), new byte[9]), Durability.SYNCED, Runnable::run,
            done::complete);
        return done.join();
    }

    @Test void scrubbingComesWhenItIsDueAndRepairsSegmentsAndHints() throws Exception {
        MemoryDisk.Faults faults = new MemoryDisk.Faults();
        MemoryDisk a = new MemoryDisk("a", faults), b = new MemoryDisk("b", faults);
        long[] now = {1};
        StoreOptions options = StoreHarness.SMALL.withScrubEvery(1_000);
        try (Store store = Store.open(a, b, options, () -> now[0])) {
            for (int i = 0; i < 20; i++) {
                store.write(new Batch().put("t", StoreHarness.bytes("k" + i), new byte[200]), Durability.SYNCED,
                    Runnable::run,
                    fault -> assertNull(fault));
            }
            store.tidy();
            String segment = a.names().stream().filter(n -> n.endsWith(".seg")).findFirst().orElseThrow();
            for (String name : List.of(segment, segment.replace(".seg", ".hint"))) {
                byte[] bytes = b.bytes(name);
                bytes[bytes.length / 2] ^= 4;         // in place: the store has the file open
            }
            now[0] += 999;
            store.tidy();
            assertFalse(a.isSame(b), "it is not due yet");
            now[0]++;
            store.tidy();
            assertTrue(a.isSame(b));
        }
    }

    @Test void afterClosingWritesAreRefused() throws Exception {
        rig.open();
        rig.put("t", "k", "v");
        rig.store.close();
        assertEquals(StoreFault.Kind.CLOSED, rig.put("t", "k", "w").kind());
    }
}
