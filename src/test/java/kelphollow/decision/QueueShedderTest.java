package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlAction.RejectRequest;
import org.junit.jupiter.api.Test;

/** Load shedding at a node that cannot serve its queue in time. The expected latency of an unknown node is 100 ms. */
class QueueShedderTest {
    private final StateHarness harness = new StateHarness();
    private final SchedulerState state = harness.state;
    private final QueueShedder shedder = new QueueShedder(state, new FinalAnswers(state));
    private final Node node = harness.node("n0", 0);

    private PendingRequest queue(String id, ControlSettings.RequestClass requestClass, String volume) {
        return harness.queue(harness.request(id, requestClass, volume, 2, 0));
    }

    private List<String> rejected() {
        return state.actions.drain().stream().filter(a -> a instanceof RejectRequest r && r.reason() == Reason.LOAD_SHED)
            .map(a -> ((RejectRequest) a).id()).toList();
    }

    @Test void nothingIsShedIfAllCanBeServedInTime() {
        for (int i = 0; i < 6; i++) {
            queue("r" + i, ControlHarness.READ, "v" + i);
        }

        shedder.shed(state.queues.ofCell(0), node);

        assertEquals(List.of(), rejected());
        assertEquals(6, state.queues.ofCell(0).onTime.size());
    }

    @Test void theLeastValuableRequestsAreShed() {
        for (int i = 0; i < 6; i++) {
            queue("read" + i, ControlHarness.READ, "v" + i);
        }
        for (int i = 0; i < 4; i++) {
            queue("write" + i, ControlHarness.WRITE, "w" + i);
        }

        shedder.shed(state.queues.ofCell(0), node);

        List<String> shed = rejected();
        assertFalse(shed.isEmpty());
        assertTrue(shed.stream().allMatch(id -> id.startsWith("read")), "writes weigh more: " + shed);
        assertEquals("read5", shed.get(0), "the latest arrival among equal weights");
    }

    @Test void aRequestThatWasSentBeforeIsQueuedAsLateInsteadOfRejected() {
        PendingRequest sent = queue("sent", ControlHarness.READ, "v");
        PendingRequest fresh = queue("fresh", ControlHarness.READ, "w");
        sent.attempts = 1;

        shedder.moveToLate(sent);
        shedder.moveToLate(fresh);

        assertTrue(sent.late && sent.queued);
        assertFalse(sent.tokensSpent);
        assertEquals(List.of("fresh"), rejected());
        assertEquals(List.of(sent), List.copyOf(state.queues.ofCell(0).late));
    }
}
