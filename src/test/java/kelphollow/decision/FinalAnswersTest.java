package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.decision.ControlAction.CancelAttempt;
import kelphollow.decision.ControlAction.FailRequest;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import org.junit.jupiter.api.Test;

/** Final answers and their Retry-After. The initial latency estimate is 100 ms; a read's objective is 300 ms. */
class FinalAnswersTest {
    private final StateHarness harness = new StateHarness();
    private final SchedulerState state = harness.state;
    private final FinalAnswers answers = new FinalAnswers(state);
    private final Node node = harness.node("n0", 0);

    private double retryAfter(PendingRequest request) {
        answers.answer(request, Reason.LOAD_SHED);
        return ((RejectRequest) state.actions.drain().get(0)).retryAfter();
    }

    private PendingRequest read(String id) {
        return harness.request(id, ControlHarness.READ, "v", 1, 0);
    }

    @Test void requestInFlightIsCancelledAndFailsUnlessARetryIsSafe() {
        PendingRequest read = read("read");
        PendingRequest write = harness.request("write", ControlHarness.WRITE, "v", 1, 0);
        harness.send(read, node);
        harness.send(write, node);

        answers.answer(write, Reason.DEADLINE_EXCEEDED);
        answers.answer(read, Reason.DEADLINE_EXCEEDED);

        assertEquals(List.of(new FailRequest("write", Reason.DEADLINE_EXCEEDED), new CancelAttempt("write", 0),
            new RejectRequest("read", 300, Reason.DEADLINE_EXCEEDED), new CancelAttempt("read", 0)), state.actions.drain());
        assertFalse(state.requests.isOpen(read));
    }

    @Test void closedQueuedRequestReturnsItsTokens() {
        PendingRequest request = harness.queue(read("r"));

        answers.cancelAndClose(request);

        assertEquals(List.of(), state.actions.drain());
        assertFalse(request.queued);
        assertEquals(10, request.volume.numTokens);
        assertTrue(request.volume.tagged.isEmpty());
    }

    @Test void retryAfterIsAtLeastTheObjective() {
        assertEquals(300, retryAfter(read("r")));
    }

    @Test void retryAfterIncludesRequestsQueuedAhead() {
        for (int i = 0; i < 12; i++) {
            harness.queue(read("q" + i));
        }

        assertEquals(100 * (1 + 12 / 3.0), retryAfter(read("r")), 1e-9);
    }

    @Test void retryAfterIncludesTheNodesBackoff() {
        node.health.failed(ControlEvent.AttemptOutcome.CONNECT_FAILED, harness.now() + 500);

        assertEquals(580, retryAfter(read("r")), 1e-9);
    }

    @Test void retryAfterIsTheMaximumWhileTheNodeIsNotEligible() {
        node.updateEndpoint(new Endpoint("n0", "a", 0, EndpointState.DRAINING, 0));

        assertEquals(1_000, retryAfter(read("r")));
    }
}
