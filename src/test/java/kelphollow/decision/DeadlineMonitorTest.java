package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.decision.ControlAction.FailRequest;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlAction.RejectRequest;
import org.junit.jupiter.api.Test;

/** Handling of expired times. A read has a latency objective of 300 ms and a deadline of 2,000 ms. */
class DeadlineMonitorTest {
    private final StateHarness harness = new StateHarness();
    private final SchedulerState state = harness.state;
    private final FinalAnswers answers = new FinalAnswers(state);
    private final DeadlineMonitor monitor = new DeadlineMonitor(state, answers, new QueueShedder(state, answers));
    private final Node node = harness.node("n0", 0);
    private final PendingRequest request = harness.request("r", ControlHarness.READ, "v", 1, 0);

    private List<Reason> expireAt(double time) {
        harness.advance(time - harness.now());
        monitor.expire();
        return state.actions.drain().stream().filter(a -> a instanceof RejectRequest || a instanceof FailRequest)
            .map(a -> a instanceof RejectRequest r ? r.reason() : ((FailRequest) a).reason()).toList();
    }

    @Test void missedObjectiveShedsQueuedRequestsAndMarksThoseInFlightLate() {
        PendingRequest inFlight = harness.request("inflight", ControlHarness.READ, "v", 1, 0);
        harness.queue(request);
        harness.send(inFlight, node);
        state.deadlines.add(request.objectiveAt, request);
        state.deadlines.add(inFlight.objectiveAt, inFlight);

        assertEquals(List.of(), expireAt(request.objectiveAt - 0.1));
        assertEquals(List.of(Reason.LOAD_SHED), expireAt(request.objectiveAt));

        assertFalse(state.requests.isOpen(request));
        assertTrue(state.requests.isOpen(inFlight));
        assertTrue(inFlight.late);
    }

    @Test void requestThatReachedNoNodeIsRejectedBeforeHalfItsTime() {
        request.late = true;
        state.queues.of(request).add(request);
        state.deadlines.add(request.queuedUntil, request);

        assertEquals(StateHarness.START + 900, request.queuedUntil, 1e-9);
        assertEquals(List.of(Reason.NO_ENDPOINT_IN_TIME), expireAt(request.queuedUntil));
    }

    @Test void requestThatReachedANodeIsAnsweredAtItsDeadline() {
        request.late = true;
        request.reachedNode = true;
        state.queues.of(request).add(request);
        state.deadlines.add(request.queuedUntil, request);
        state.deadlines.add(request.answerAt, request);

        assertEquals(List.of(), expireAt(request.queuedUntil));
        assertEquals(StateHarness.START + 2_000 - 4, request.answerAt, "four ticks before the deadline");
        assertEquals(List.of(Reason.DEADLINE_EXCEEDED), expireAt(request.answerAt));
    }

    @Test void answeredRequestIsSkipped() {
        state.deadlines.add(request.answerAt, request);
        answers.close(request);

        assertEquals(List.of(), expireAt(request.answerAt));
    }

    @Test void streamedResponseEndsOnlyAtShutdown() {
        PendingRequest other = harness.request("other", ControlHarness.READ, "v", 1, 0);
        request.streaming = true;
        state.deadlines.add(request.answerAt, request);
        assertEquals(List.of(), expireAt(request.answerAt));

        double shutdownAt = harness.now() + 500;
        monitor.shutDownAt(shutdownAt);
        assertEquals(shutdownAt, request.answerAt);
        assertTrue(other.answerAt < shutdownAt, "the earlier deadline is kept");

        assertEquals(List.of(Reason.DEADLINE_EXCEEDED), expireAt(shutdownAt - 1), "the other request");
        assertEquals(List.of(Reason.DEADLINE_EXCEEDED), expireAt(shutdownAt));
    }
}
