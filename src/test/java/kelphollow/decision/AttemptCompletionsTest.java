package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlAction.FailRequest;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Effects of the end of an attempt on its request, its node and its volume. */
class AttemptCompletionsTest {
    private final StateHarness harness = new StateHarness();
    private final SchedulerState state = harness.state;
    private final FinalAnswers answers = new FinalAnswers(state);
    private final AttemptCompletions completions = new AttemptCompletions(state, answers);
    private final Node node = harness.node("n0", 0);

    private PendingRequest sent(ControlSettings.RequestClass requestClass) {
        PendingRequest request = harness.request("r", requestClass, "v", 2, 0);
        harness.send(request, node);
        harness.advance(20);
        return request;
    }

    private List<ControlAction> end(AttemptOutcome outcome, boolean requestFinished, boolean unrepeatable) {
        completions.ended(new AttemptEnded("r", 0, "n0", outcome, 20, requestFinished, unrepeatable, 0, -1, Map.of()));
        return state.actions.drain();
    }

    @Test void servedRequestIsClosedAndUpdatesTheNodesLatency() {
        PendingRequest request = sent(ControlHarness.READ);

        assertEquals(List.of(), end(AttemptOutcome.SERVED, true, false));

        assertFalse(state.requests.isOpen(request));
        assertNull(state.requests.attempt("r#0"));
        assertEquals(0, node.inFlight());
        assertEquals(20, node.latency.mean());
    }

    @Test void unknownAttemptIsIgnored() {
        assertEquals(List.of(), end(AttemptOutcome.SERVED, true, false));
    }

    @Test void failedReadIsRequeuedWithBackoff() {
        PendingRequest request = sent(ControlHarness.READ);

        assertEquals(List.of(), end(AttemptOutcome.ERROR, false, false));

        assertTrue(request.queued && request.reachedNode);
        assertEquals(harness.now() + 40, request.retryAt);
        assertSame(node, request.possiblyExecutedNode);
        assertEquals(StateHarness.START, request.possiblyExecutedSince);
    }

    @Test void retryThatCannotMeetTheObjectiveIsLate() {
        PendingRequest request = sent(ControlHarness.READ);
        harness.advance(250);

        end(AttemptOutcome.RESET, false, false);

        assertTrue(request.late);
        assertEquals(List.of(request), List.copyOf(state.queues.ofCell(0).late));
    }

    @Test void possiblyExecutedWriteFails() {
        sent(ControlHarness.WRITE);

        assertEquals(List.of(new FailRequest("r", Reason.NOT_RETRYABLE)), end(AttemptOutcome.RESET, false, false));
    }

    @Test void writeThatWasNotExecutedIsRequeued() {
        PendingRequest request = sent(ControlHarness.WRITE);

        assertEquals(List.of(), end(AttemptOutcome.CONNECT_FAILED, false, false));

        assertTrue(request.queued);
        assertFalse(request.possiblyExecuted() || request.reachedNode);
    }

    @Test void requestWithConsumedBodyIsNotRetried() {
        sent(ControlHarness.READ);

        assertEquals(List.of(new RejectRequest("r", 300, Reason.NOT_RETRYABLE)), end(AttemptOutcome.ERROR, false, true));
    }

    @Test void requestThatReachedNoNodeInTimeIsRejected() {
        PendingRequest request = sent(ControlHarness.READ);
        harness.advance(request.queuedUntil - harness.now());

        List<ControlAction> actions = end(AttemptOutcome.CONNECT_FAILED, false, false);

        assertEquals(Reason.NOT_RETRYABLE, ((RejectRequest) actions.get(0)).reason());
    }

    @Test void truncatedStreamedResponseGetsItsDeadlineBack() {
        PendingRequest request = sent(ControlHarness.READ);
        request.streaming = true;

        end(AttemptOutcome.RESET, false, false);

        assertFalse(request.streaming);
        assertEquals(request.answerAt, state.deadlines.nextAt());
    }

    @Test void attemptOfAClosedRequestOnlyUpdatesStatistics() {
        PendingRequest request = sent(ControlHarness.READ);
        answers.close(request);

        assertEquals(List.of(), end(AttemptOutcome.SERVED, false, false));

        assertEquals(20, node.latency.mean());
        assertFalse(request.queued);
    }
}
