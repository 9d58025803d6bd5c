package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import kelphollow.store.MemoryDisk.Faults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against losing acknowledged writes and against restoring unacknowledged parts of them. Injects a power cut or a
 * disk fault at each file system operation in turn: during appends, rotation, compaction, replacement of the manifest and of
 * hints, close, and recovery itself.
 */
class CrashTest {
    /** Number of random disk states tried for a power cut at each operation. */
    private static final int SEEDS = Integer.getInteger("kelphollow.crash.seeds", 6);
    private static final int STEPS = 36;

    /** A fixed workload on a store, and how much of it was acknowledged. */
    private static final class Workload {
        final StoreHarness harness = new StoreHarness();
        /** Expected contents of the store after each submitted batch. */
        final List<Map<String, String>> history = new ArrayList<>(List.of(Map.of()));
        /** Number of batches that must survive a power cut. */
        int synced;
        /** Number of batches that must survive a kill of the process. */
        int buffered;

        Workload(Faults faults) {
            harness.useDisks(new MemoryDisk("a", faults), new MemoryDisk("b", faults));
            harness.options = StoreHarness.SMALL;
        }

        void run() {
            try {
                harness.open();
                for (int i = 0; i < STEPS; i++) {
                    step(i);
                }
                harness.store.close();
            } catch (IOException | StoreFault e) {
                // interrupted by the fault; the batches acknowledged so far must survive
            }
        }

        private void step(int step) throws IOException, StoreFault {
            Batch batch = batch(step);
            Map<String, String> after = new TreeMap<>(history.get(history.size() - 1));
            StoreHarness.apply(batch, after);
            history.add(after);
            Durability durability = step % 4 == 2 ? Durability.BUFFERED : Durability.SYNCED;
            if (harness.write(batch, durability) == null) {
                buffered = history.size() - 1;
                synced = durability == Durability.SYNCED ? buffered : synced;
            }
            if (step % 12 == 11) {
                harness.store.runMaintenance();
            }
            if (step == 20) {
                harness.store.compactAll();
            }
            if (step == 27) {
                harness.reopen();
            }
        }

        private static Batch batch(int step) {
            Batch batch = StoreHarness.put(new Batch(), "outcomes", "request" + step % 8, "ran " + step);
            if (step % 3 == 0) {
                batch.remove("outcomes", StoreHarness.bytes("request" + (step + 5) % 8));
            }
            if (step % 9 == 5) {
                StoreHarness.put(batch, "parts", "long", "x".repeat(600) + step);
            }
            return batch;
        }

        /** Asserts that the contents are those after one of the batches, the last acknowledged one or a later one. */
        void assertKept(Map<String, String> found, int acknowledged, String context) {
            for (int i = acknowledged; i < history.size(); i++) {
                if (history.get(i).equals(found)) {
                    return;
                }
            }
            fail(context + ": found " + found + ", acknowledged at least " + history.get(acknowledged));
        }
    }

    private static int operationsOfWorkload() {
        Workload workload = new Workload(new Faults());
        workload.run();
        assertEquals(STEPS, workload.synced);
        return workload.harness.first.faults.operations;
    }

    private static Faults faultsFrom(int operation, Faults.Kind kind) {
        Faults faults = new Faults();
        faults.firstFailing = operation;
        faults.kind = kind;
        return faults;
    }

    @Test void aPowerCutAtAnyOperationLosesNoAcknowledgedWrite() {
        int operations = operationsOfWorkload();
        assertTrue(operations > 300, "operations " + operations);
        IntStream.rangeClosed(1, operations).parallel().forEach(operation -> {
            Workload workload = new Workload(faultsFrom(operation, Faults.Kind.POWER_CUT));
            workload.run();
            for (int seed = 0; seed < SEEDS; seed++) {
                assertRecovers(workload, new Random(operation * 1_000L + seed),
                    "power cut at operation " + operation + ", seed " + seed);
            }
        });
    }

    private static void assertRecovers(Workload workload, Random random, String context) {
        try {
            StoreHarness harness = new StoreHarness().useDisks(workload.harness.first.afterPowerCut(random),
                workload.harness.second.afterPowerCut(random));
            harness.options = workload.harness.options.withCheckAll(random.nextBoolean());
            harness.open();
            Map<String, String> found = StoreHarness.contents(harness.store);
            workload.assertKept(found, workload.synced, context);
            harness.store.close();
            MemoryDisk firstBefore = harness.first.copy(new Faults());
            MemoryDisk secondBefore = harness.second.copy(new Faults());
            harness.open();
            assertEquals(found, StoreHarness.contents(harness.store), context + ", second recovery");
            harness.store.close();
            assertTrue(firstBefore.hasSameFiles(harness.first) && secondBefore.hasSameFiles(harness.second),
                context + ": a second recovery changes nothing");
        } catch (IOException | StoreFault e) {
            throw new AssertionError(context, e);
        }
    }

    @Test void aRecoveryThatIsInterruptedAtAnyOperationCanBeRepeated() {
        int operations = operationsOfWorkload();
        IntStream.rangeClosed(1, operations / 7).map(n -> n * 7).parallel().forEach(operation -> {
            Workload workload = new Workload(faultsFrom(operation, Faults.Kind.POWER_CUT));
            workload.run();
            Random random = new Random(operation);
            MemoryDisk first = workload.harness.first.afterPowerCut(random);
            MemoryDisk second = workload.harness.second.afterPowerCut(random);
            for (int recoveryOperation = 1; recoveryOperation < 1_000; recoveryOperation++) {
                Faults faults = faultsFrom(recoveryOperation, Faults.Kind.POWER_CUT);
                StoreHarness harness = new StoreHarness().useDisks(first.copy(faults), second.copy(faults));
                harness.options = workload.harness.options;
                try {
                    harness.open();
                    break;              // recovery completed, so the power was cut at each of its operations
                } catch (IOException | StoreFault e) {
                    Workload cutOff = new Workload(faults);
                    cutOff.harness.useDisks(harness.first, harness.second);
                    cutOff.history.addAll(workload.history.subList(1, workload.history.size()));
                    cutOff.synced = workload.synced;
                    assertRecovers(cutOff, random, "power cut at " + operation + ", recovery cut at " + recoveryOperation);
                }
            }
        });
    }

    /** After its first failure the disk keeps failing, as a full disk does. */
    @ParameterizedTest @EnumSource(names = "POWER_CUT", mode = EnumSource.Mode.EXCLUDE) void aFailingDiskLosesNothing(
        Faults.Kind kind) {
        IntStream.rangeClosed(1, operationsOfWorkload()).parallel().forEach(operation -> {
            Workload workload = new Workload(faultsFrom(operation, kind));
            workload.run();
            String context = kind + " at operation " + operation;
            try {
                StoreHarness killed = new StoreHarness().useDisks(workload.harness.first.copy(new Faults()),
                    workload.harness.second.copy(new Faults()));
                killed.open();
                workload.assertKept(StoreHarness.contents(killed.store), workload.buffered, context + ", then killed");
            } catch (IOException | StoreFault e) {
                throw new AssertionError(context, e);
            }
            assertRecovers(workload, new Random(operation), context + ", then the power cut");
        });
    }

    @Test void aSegmentIsNeverWrittenToAgainAfterAFailedSync() throws Exception {
        StoreHarness harness = new StoreHarness().open();
        harness.put("t", "a", "1");
        Faults faults = harness.first.faults;

        faults.kind = Faults.Kind.SYNC_FAILS;
        faults.firstFailing = faults.operations;
        assertEquals(StoreFault.Kind.IO_FAILURE, harness.put("t", "b", "2").kind());
        List<String> before = harness.first.names(".seg");
        faults.firstFailing = Integer.MAX_VALUE;
        assertEquals(StoreFault.Kind.IO_FAILURE, harness.put("t", "c", "3").kind(), "also when the disk works again");
        harness.killAndReopen();

        assertEquals("1", harness.get("t", "a"));
        assertNull(harness.get("t", "c"));
        List<String> after = harness.first.names(".seg");
        assertTrue(Collections.disjoint(before, after), "before " + before + ", after " + after);
    }

    @Test void aFullDiskDuringCompactionHarmsNoWrite() throws Exception {
        StoreHarness harness = new StoreHarness().open();
        for (int i = 0; i < 40; i++) {
            harness.put("t", "key" + i % 5, "value" + i);
        }
        Faults faults = harness.first.faults;

        faults.kind = Faults.Kind.NO_SPACE;
        faults.firstFailing = faults.operations;
        assertThrows(IOException.class, () -> harness.store.compactAll());
        faults.firstFailing = Integer.MAX_VALUE;

        assertNull(harness.put("t", "after", "1"));
        harness.store.runMaintenance();
        harness.assertHoldsModel();
        harness.killAndReopen();
        harness.assertHoldsModel();
    }

    /** Guards against compaction dropping a value whose overwriting value is not synced yet and is lost in a power cut. */
    @Test void compactionKeepsAValueUntilWhatOverwroteItIsSynced() throws Exception {
        StoreHarness harness = new StoreHarness().open();
        harness.put("t", "key", "old");
        for (int i = 0; i < 10; i++) {
            harness.put("t", "other" + i, "x".repeat(100));
        }

        harness.write(StoreHarness.put(new Batch(), "t", "key", "new"), Durability.BUFFERED);
        harness.store.compactAll();

        for (int seed = 0; seed < 40; seed++) {
            Random random = new Random(seed);
            StoreHarness afterCut = new StoreHarness()
                .useDisks(harness.first.afterPowerCut(random), harness.second.afterPowerCut(random)).open();
            assertNotNull(afterCut.get("t", "key"), "seed " + seed);
        }
    }
}
