package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import org.junit.jupiter.api.Test;

/** The order in which entries become due. */
class DeadlineQueueTest {
    private final StateHarness harness = new StateHarness();
    private final DeadlineQueue queue = new DeadlineQueue();
    private final PendingRequest first = harness.request("first", ControlHarness.READ, "v", 1, 0);
    private final PendingRequest second = harness.request("second", ControlHarness.READ, "v", 1, 0);

    @Test void earliestTimeComesFirstThenOlderRequest() {
        queue.add(200, second);
        queue.add(200, first);
        queue.add(100, second);

        assertEquals(100, queue.nextAt());
        assertSame(second, queue.pollDue(200));
        assertSame(first, queue.pollDue(200));
        assertSame(second, queue.pollDue(200));
        assertNull(queue.pollDue(200));
    }

    @Test void nothingIsDueBeforeItsTime() {
        assertEquals(Double.POSITIVE_INFINITY, queue.nextAt());
        queue.add(100, first);

        assertNull(queue.pollDue(99.9));
        assertSame(first, queue.pollDue(100));
    }
}
