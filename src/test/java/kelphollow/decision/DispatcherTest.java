package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.decision.ControlAction.SendAttempt;
import org.junit.jupiter.api.Test;

/** Which requests are sent, in what order and to which node. A node's concurrency window starts at three requests. */
class DispatcherTest {
    private final StateHarness harness = new StateHarness();
    private final SchedulerState state = harness.state;
    private final Dispatcher dispatcher = new Dispatcher(state, new QueueShedder(state, new FinalAnswers(state)));
    private final Node node = harness.node("n0", 0);

    private PendingRequest queue(String id, ControlSettings.RequestClass requestClass, int cell) {
        return harness.queue(harness.request(id, requestClass, "v-" + id, 2, cell));
    }

    private List<String> dispatch() {
        dispatcher.dispatch();
        return state.actions.drain().stream().filter(a -> a instanceof SendAttempt).map(a -> (SendAttempt) a)
            .map(s -> s.id() + " to " + s.node()).toList();
    }

    @Test void smallestFinishTagsAreSentUpToTheWindow() {
        queue("write", ControlHarness.WRITE, 0);
        queue("read1", ControlHarness.READ, 0);
        queue("read2", ControlHarness.READ, 0);
        queue("read3", ControlHarness.READ, 0);

        assertEquals(List.of("read1 to n0", "read2 to n0", "read3 to n0"), dispatch());
        assertEquals(1, state.queues.ofCell(0).size());
    }

    @Test void sentRequestIsInFlightAndNoLongerQueued() {
        PendingRequest request = queue("r", ControlHarness.READ, 0);

        dispatch();

        assertFalse(request.queued);
        assertEquals(1, request.attempts);
        assertSame(request.inFlight, state.requests.attempt("r#0"));
        assertSame(node, request.inFlight.node);
        assertTrue(request.volume.tagged.isEmpty());
        assertTrue(request.tokensSpent);
    }

    @Test void requestsOfOtherCellsStayQueued() {
        queue("elsewhere", ControlHarness.READ, 7);

        assertEquals(List.of(), dispatch());
    }

    @Test void newObjectsGoToTheNodeWithTheShortestWait() {
        harness.node("n1", 1);
        queue("own1", ControlHarness.READ, 0);
        queue("own2", ControlHarness.READ, 0);
        queue("object", ControlHarness.WRITE, PendingQueues.NEW_OBJECTS);

        assertEquals(List.of("own1 to n0", "own2 to n0", "object to n1"), dispatch());
    }

    @Test void requestIsNotSentDuringItsBackoff() {
        PendingRequest request = queue("r", ControlHarness.READ, 0);
        request.retryAt = harness.now() + 40;
        assertEquals(List.of(), dispatch());

        harness.advance(40);

        assertEquals(List.of("r to n0"), dispatch());
    }

    @Test void oneRequestPerOrderedKeyIsSentAtATime() {
        for (String id : List.of("first", "second")) {
            PendingRequest request = harness.request(id, ControlHarness.ORDERED, "v", "k", 2, 0, 0);
            state.keyOrders.arrived(request, 1);
            harness.queue(request);
        }

        assertEquals(List.of("first to n0"), dispatch());
    }

    @Test void lateRequestIsSentOnlyToAnIdleNode() {
        PendingRequest request = harness.request("late", ControlHarness.READ, "v", 2, 0);
        request.late = true;
        state.queues.of(request).add(request);
        harness.advance(310);
        assertEquals(List.of(), dispatch(), "the node may have had a request recently");

        harness.advance(900);

        assertEquals(List.of("late to n0"), dispatch());
    }

    @Test void requestThatCannotBeAnsweredInTimeIsNotSent() {
        PendingRequest request = queue("r", ControlHarness.READ, 0);
        request.answerAt = harness.now() + 50;
        harness.advance(250);

        assertEquals(List.of(), dispatch(), "the expected latency is 100 ms");
    }
}
