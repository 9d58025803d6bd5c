package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.RetryBudgetChanged;
import org.junit.jupiter.api.Test;

/** Rules on whether, when and where a request may be retried. */
class RetryPolicyTest {
    private final StateHarness harness = new StateHarness();
    private final RetryPolicy retries = harness.state.retries;
    private final Node node = harness.node("n0", 0);
    private final Node other = harness.node("n1", 1);

    private PendingRequest possiblyExecuted(ControlSettings.RequestClass requestClass) {
        PendingRequest request = harness.request("r", requestClass, "v", 1, 0);
        request.possiblyExecutedSince = harness.now();
        request.possiblyExecutedNode = node;
        request.attempts = 1;
        return request;
    }

    @Test void aPossiblyExecutedRequestIsRetriedOnlyIfThatIsSafe() {
        assertTrue(retries.mayRetry(possiblyExecuted(ControlHarness.READ)));
        assertTrue(retries.mayRetry(possiblyExecuted(ControlHarness.KEYED)));
        assertFalse(retries.mayRetry(possiblyExecuted(ControlHarness.WRITE)));

        PendingRequest notExecuted = possiblyExecuted(ControlHarness.WRITE);
        notExecuted.possiblyExecutedSince = -1;

        assertTrue(retries.mayRetry(notExecuted));
    }

    @Test void aKeyIsRecognisedInItsCellUntilOneTickBeforeItsWindowEnds() {
        PendingRequest keyed = possiblyExecuted(ControlHarness.KEYED);

        assertEquals(harness.now() + 4_000 - 1, retries.writeBy(keyed));
        assertTrue(retries.isSafeAt(keyed, node));
        assertFalse(retries.isSafeAt(keyed, other));
        harness.advance(3_999);

        assertFalse(retries.isSafeAt(keyed, node));
    }

    @Test void onlyAPossiblyExecutedKeyBoundsTheTimeOfWriting() {
        PendingRequest fresh = harness.request("fresh", ControlHarness.KEYED, "v", 1, 0);

        assertEquals(0, retries.writeBy(fresh));
        assertEquals(0, retries.writeBy(possiblyExecuted(ControlHarness.READ)));
        assertTrue(retries.isSafeAt(fresh, other));
        assertTrue(retries.isSafeAt(possiblyExecuted(ControlHarness.READ), other));
        assertFalse(retries.isSafeAt(possiblyExecuted(ControlHarness.WRITE), node));
    }

    @Test void aRetryMustBeginWithinTheWindow() {
        PendingRequest keyed = possiblyExecuted(ControlHarness.KEYED);
        keyed.possiblyExecutedSince = harness.now() - 3_959;
        assertTrue(retries.mayRetry(keyed));

        keyed.possiblyExecutedSince = harness.now() - 3_960;

        assertFalse(retries.mayRetry(keyed), "the backoff of 40 ms ends when the window does");
    }

    @Test void attemptsAndTimeAreBounded() {
        PendingRequest request = possiblyExecuted(ControlHarness.READ);
        request.attempts = 4;
        assertFalse(retries.mayRetry(request));

        request.attempts = 1;
        retries.setMaxAttempts(0);
        assertFalse(retries.mayRetry(request), "one attempt is always allowed, no further one");
        retries.setMaxAttempts(2);
        assertTrue(retries.mayRetry(request));
        harness.advance(2_000);

        assertFalse(retries.mayRetry(request));
    }

    @Test void theBackoffGrowsWithTheAttemptsExceptAfterATimeout() {
        PendingRequest request = possiblyExecuted(ControlHarness.READ);
        request.attempts = 3;

        assertEquals(harness.now() + 120, retries.retryAt(request, AttemptOutcome.RESET));
        assertEquals(harness.now(), retries.retryAt(request, AttemptOutcome.TIMED_OUT));
    }

    @Test void bothBudgetsLimitRetriesButNotFirstAttempts() {
        PendingRequest first = harness.request("first", ControlHarness.READ, "v", 1, 0);
        PendingRequest retry = possiblyExecuted(ControlHarness.READ);
        assertTrue(retries.budgetsAllow(retry, node), "three retries are free");

        harness.state.nodes.limitRetries(new RetryBudgetChanged(0.1, 10_000));
        assertFalse(retries.budgetsAllow(retry, node), "the node has had no first attempts");
        assertTrue(retries.budgetsAllow(first, node));
        for (int i = 0; i < 10; i++) {
            retries.sent(first, node);
        }

        assertTrue(retries.budgetsAllow(retry, node));
        retries.sent(retry, node);
        assertFalse(retries.budgetsAllow(retry, node));
    }

    @Test void theInstancesOwnBudgetIsSharedByAllNodes() {
        PendingRequest retry = possiblyExecuted(ControlHarness.READ);

        for (int i = 0; i < 3; i++) {
            assertTrue(retries.budgetsAllow(retry, other));
            retries.sent(retry, node);
        }

        assertFalse(retries.budgetsAllow(retry, other));
        for (int i = 0; i < 10; i++) {
            retries.requestArrived();
        }
        assertTrue(retries.budgetsAllow(retry, other), "ten requests allow one more");
    }

    @Test void aClientsRetryCountsInTheBudgetsOfItsNodesOnArrival() {
        harness.state.nodes.limitRetries(new RetryBudgetChanged(0.5, 10_000));
        PendingRequest first = harness.request("first", ControlHarness.READ, "v", 1, 0);
        retries.sent(first, node);
        retries.sent(first, node);
        RequestArrived marked = new RequestArrived("m", "read", "free", null, harness.now() + 2_000, "v", 1, 0, 1, true);

        assertTrue(retries.admitsClientRetry(marked));
        assertFalse(retries.admitsClientRetry(marked));
    }

    @Test void theTimeoutOfASafeAttemptLeavesTimeForARetry() {
        PendingRequest read = harness.request("read", ControlHarness.READ, "v", 2, 0);
        PendingRequest write = harness.request("write", ControlHarness.WRITE, "v", 2, 0);
        assertEquals(0, retries.attemptTimeout(read, node),
            "the expected latency of an unknown node leaves no time for a retry");
        harness.serve(node, 1, 20);
        PendingRequest later = harness.request("later", ControlHarness.READ, "v", 2, 0);

        assertEquals(300 - 20 - 2, retries.attemptTimeout(later, node), 1e-6);
        assertEquals(0, retries.attemptTimeout(write, node));
        later.late = true;
        assertEquals(0, retries.attemptTimeout(later, node));
    }

    @Test void aClientMayRetryIfNothingWasExecutedOrTheRequestIsIdempotent() {
        PendingRequest write = possiblyExecuted(ControlHarness.WRITE);
        assertFalse(retries.isSafeForClient(write));
        assertFalse(retries.isSafeForClient(possiblyExecuted(ControlHarness.KEYED)),
            "only the nodes of its cell recognise the key");
        assertTrue(retries.isSafeForClient(possiblyExecuted(ControlHarness.READ)));
        write.possiblyExecutedSince = -1;
        assertTrue(retries.isSafeForClient(write));

        harness.send(write, node);

        assertFalse(retries.isSafeForClient(write), "the attempt in flight may still be executed");
    }
}
