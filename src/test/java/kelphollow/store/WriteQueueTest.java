package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which writes and tasks the queue accepts and in which groups it returns them. */
class WriteQueueTest {
    private static final StoreFault FAULT = new StoreFault(StoreFault.Kind.IO_FAILURE, "the disk failed");
    private final WriteQueue queue = new WriteQueue(StoreHarness.SMALL);

    private static PendingWrite write(int valueBytes) {
        return new PendingWrite(new Batch().put("t", new byte[1], new byte[valueBytes]), Durability.SYNCED, Runnable::run,
            fault -> {});
    }

    private static PendingTask<Void> task() {
        return new PendingTask<>(log -> null);
    }

    @Test void writesAreTakenInOrder() {
        PendingWrite first = write(10);
        PendingWrite second = write(20);
        assertNull(queue.offer(first));
        assertNull(queue.offer(second));

        assertEquals(List.of(first, second), queue.take(false, 0).writes());
        assertEquals(List.of(), queue.take(false, 0).writes());
    }

    @Test void aGroupIsBoundedInBytes() {
        PendingWrite first = write(2_500);
        PendingWrite second = write(2_500);
        queue.offer(first);
        queue.offer(second);

        assertEquals(List.of(first), queue.take(false, 0).writes());
        assertEquals(List.of(second), queue.take(false, 0).writes());
    }

    @Test void aFullQueueRejectsUntilAGroupIsTaken() {
        queue.offer(write(3_900));
        queue.offer(write(3_900));
        assertEquals(StoreFault.Kind.QUEUE_FULL, queue.offer(write(3_900)).kind());

        queue.take(false, 0);

        assertNull(queue.offer(write(3_900)));
    }

    @Test void aBatchThatIsTooLargeIsRejected() {
        assertEquals(StoreFault.Kind.BATCH_TOO_LARGE, queue.offer(write(5_000)).kind());
    }

    @Test void aQueuedTaskIsTakenWithoutWaiting() throws Exception {
        PendingTask<Void> task = task();
        queue.offer(task);

        assertEquals(List.of(task), queue.take(true, 0).tasks());
    }

    @Test void anIdleQueueReturnsAnEmptyGroupAfterTheIdleTime() {
        WriteQueue.Group group = queue.take(true, 1);

        assertTrue(group.writes().isEmpty() && group.tasks().isEmpty());
        assertFalse(group.isLast());
    }

    @Test void aClosingQueueRejectsOffersAndDrains() {
        PendingWrite queued = write(10);
        queue.offer(queued);

        queue.beginClose();

        assertEquals(StoreFault.Kind.CLOSED, queue.offer(write(10)).kind());
        assertEquals(StoreFault.Kind.CLOSED, assertThrows(StoreFault.class, () -> queue.offer(task())).kind());
        WriteQueue.Group last = queue.take(true, 0);
        assertEquals(List.of(queued), last.writes());
        assertTrue(last.isLast());
    }

    @Test void aFailedQueueReturnsQueuedWritesAndRejectsWithTheFault() {
        PendingWrite queued = write(10);
        queue.offer(queued);

        assertEquals(List.of(queued), queue.fail(FAULT));

        assertSame(FAULT, queue.offer(write(10)));
        assertSame(FAULT, assertThrows(StoreFault.class, () -> queue.offer(task())));
        assertSame(FAULT, queue.fault());
    }

    @Test void aStoppedQueueKeepsItsFirstFault() {
        queue.stop(FAULT);
        queue.stop(new StoreFault(StoreFault.Kind.DAMAGED, "later"));

        assertSame(FAULT, queue.fault());
    }
}
