package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.RetryBudgetChanged;
import org.junit.jupiter.api.Test;

/** Handling of arriving requests. The latency objective of a read is 300 ms, its deadline 2,000 ms. */
class RequestArrivalsTest {
    private final StateHarness harness = new StateHarness();
    private final SchedulerState state = harness.state;
    private final RequestArrivals arrivals = new RequestArrivals(state, new FinalAnswers(state));

    private PendingRequest arrive(String id, String plan, double units, double deadline, boolean isRetry) {
        arrivals.arrived(new RequestArrived(id, "read", plan, null, harness.now() + deadline, "v", units, 0, 1, isRetry));
        return state.requests.get(id);
    }

    private List<Reason> rejections() {
        return state.actions.drain().stream().map(a -> ((RejectRequest) a).reason()).toList();
    }

    @Test void aRequestIsTaggedAndQueuedWithItsDeadlines() {
        PendingRequest request = arrive("r", "free", 2, 2_000, false);

        assertTrue(request.queued && request.tokensSpent && !request.late);
        assertEquals(List.of(request), List.copyOf(state.queues.ofCell(0).onTime));
        assertEquals(harness.now() + 300, request.objectiveAt);
        assertEquals(request.objectiveAt, state.deadlines.nextAt());
        assertEquals(List.of(), state.actions.drain());
    }

    @Test void eachAcceptedRequestDrawsOneRandomNumberInOrderOfArrival() {
        Random random = new Random(7 * 0x9E3779B97F4A7C15L);

        arrive("unknown", "nothing", 2, 2_000, false);
        PendingRequest first = arrive("first", "free", 2, 2_000, false);
        PendingRequest second = arrive("second", "free", 2, 2_000, false);

        assertEquals(random.nextDouble(), first.admissionDraw);
        assertEquals(random.nextDouble(), second.admissionDraw);
    }

    @Test void unknownPlansAndInvalidSizesAreRejected() {
        arrive("plan", "nothing", 2, 2_000, false);
        arrive("negative", "free", -1, 2_000, false);
        arrive("nan", "free", Double.NaN, 2_000, false);

        assertEquals(List.of(Reason.UNKNOWN_CLASS, Reason.UNKNOWN_CLASS, Reason.UNKNOWN_CLASS), rejections());
        assertEquals(0, state.requests.size());
    }

    @Test void aDuplicateOfAnOpenIdIsIgnored() {
        PendingRequest first = arrive("r", "free", 2, 2_000, false);

        arrive("r", "free", 5, 2_000, false);

        assertTrue(state.requests.isOpen(first));
        assertEquals(1, state.queues.ofCell(0).size());
    }

    @Test void aRequestThatTheLimitCannotAdmitInTimeIsRejected() {
        arrive("soon", "limited", 4, 2_000, false);
        arrive("late", "limited", 15, 2_000, false);

        assertEquals(List.of(Reason.RATE_LIMITED), rejections());
        assertTrue(state.requests.contains("soon"));
    }

    @Test void aClientsRetryBeyondTheBudgetIsRejected() {
        harness.node("n0", 0);
        state.nodes.limitRetries(new RetryBudgetChanged(0.1, 10_000));

        arrive("retry", "free", 1, 2_000, true);
        arrive("first", "free", 1, 2_000, false);

        assertEquals(List.of(Reason.RETRY_BUDGET_EXHAUSTED), rejections());
        assertTrue(state.requests.contains("first"));
    }

    @Test void aRequestPastItsObjectiveWaitsOneTickForAnIdleNode() {
        PendingRequest request = arrive("r", "free", 2, 1_500, true);

        assertTrue(request.late && request.queued);
        assertFalse(request.tokensSpent);
        assertEquals(harness.now() + 1, request.queuedUntil, "one tick");
        assertEquals(List.of(request), List.copyOf(state.queues.ofCell(0).late));
    }

    @Test void aRequestDuringShutdownIsAnsweredBeforeItEnds() {
        state.requests.shutDownAt(harness.now() + 100);

        PendingRequest request = arrive("r", "free", 2, 2_000, false);

        assertEquals(harness.now() + 100, request.answerAt);
        assertEquals(harness.now() + 100, request.objectiveAt);
    }
}
