package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Assignment of requests to queues, and their order there. */
class PendingQueuesTest {
    private final StateHarness harness = new StateHarness();
    private final PendingQueues queues = harness.state.queues;

    @Test void requestsAreOrderedByFinishTagAndThenByArrival() {
        PendingRequest second = harness.request("second", ControlHarness.WRITE, "v", 1, 0);
        PendingRequest third = harness.request("third", ControlHarness.WRITE, "v", 1, 0);
        PendingRequest first = harness.request("first", ControlHarness.READ, "v", 1, 0);
        second.finishTag = 400;
        third.finishTag = 400;
        first.finishTag = 300;

        for (PendingRequest request : List.of(third, second, first)) {
            queues.of(request).add(request);
        }

        assertEquals(List.of(first, second, third), List.copyOf(queues.ofCell(0).onTime));
    }

    @Test void lateRequestsAreQueuedSeparately() {
        PendingRequest request = harness.request("r", ControlHarness.READ, "v", 1, 0);
        request.late = true;

        queues.of(request).add(request);

        assertTrue(request.queued);
        assertEquals(List.of(request), List.copyOf(queues.ofCell(0).late));
        assertTrue(queues.ofCell(0).onTime.isEmpty());
    }

    @Test void newObjectsShareOneQueue() {
        PendingRequest request = harness.request("r", ControlHarness.WRITE, "v", 1, -5);

        queues.of(request).add(request);

        assertSame(queues.ofCell(PendingQueues.NEW_OBJECTS), queues.of(request));
    }

    @Test void aPossiblyExecutedNewObjectStaysInTheCellThatRecognisesItsKey() {
        PendingRequest keyed = harness.request("k", ControlHarness.KEYED, "v", 1, -1);
        PendingRequest anywhere = harness.request("r", ControlHarness.READ, "v", 1, -1);
        keyed.possiblyExecutedNode = harness.node("n3", 3);
        anywhere.possiblyExecutedNode = keyed.possiblyExecutedNode;

        queues.of(keyed).add(keyed);

        assertEquals(1, queues.ofCell(3).size());
        assertSame(queues.of(anywhere), queues.ofCell(PendingQueues.NEW_OBJECTS), "every node recognises a retry");
    }

    @Test void emptyQueuesAreRemoved() {
        PendingRequest request = harness.request("r", ControlHarness.READ, "v", 1, 0);
        queues.of(request).add(request);
        queues.removeEmpty();
        assertFalse(queues.isEmpty());

        queues.of(request).remove(request);
        queues.removeEmpty();

        assertFalse(request.queued);
        assertTrue(queues.isEmpty());
        assertNull(queues.ofCell(0));
    }
}
