package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.RetryBudgetChanged;
import org.junit.jupiter.api.Test;

/** Whether, when and where a request may be attempted again. */
class RetryPolicyTest {
    private final StateHarness harness = new StateHarness();
    private final RetryPolicy retries = harness.state.retries;
    private final Node node = harness.node("n0", 0);
    private final Node other = harness.node("n1", 1);

    private PendingRequest executed(ControlSettings.RequestClass requestClass) {
        PendingRequest request = harness.request("r", requestClass, "v", 1, 0);
        request.possiblyExecutedSince = harness.now();
        request.possiblyExecutedNode = node;
        request.attempts = 1;
        return request;
    }

    @Test void whatMayHaveBeenExecutedIsRetriedOnlyWhereThatIsSafe() {
        assertTrue(retries.mayRetry(executed(ControlHarness.READ)));
        assertTrue(retries.mayRetry(executed(ControlHarness.KEYED)));
        assertFalse(retries.mayRetry(executed(ControlHarness.WRITE)));

        PendingRequest notExecuted = executed(ControlHarness.WRITE);
        notExecuted.possiblyExecutedSince = -1;

        assertTrue(retries.mayRetry(notExecuted));
    }

    @Test void aKeyIsRecognisedInItsCellWithinItsWindowLessATick() {
        PendingRequest keyed = executed(ControlHarness.KEYED);

        assertEquals(harness.now() + 4_000 - 1, retries.writeBy(keyed));
        assertTrue(retries.isSafeAt(keyed, node));
        assertFalse(retries.isSafeAt(keyed, other));
        harness.advance(3_999);

        assertFalse(retries.isSafeAt(keyed, node));
    }

    @Test void onlyAKeyThatMayHaveBeenExecutedBoundsTheWriting() {
        PendingRequest fresh = harness.request("fresh", ControlHarness.KEYED, "v", 1, 0);

        assertEquals(0, retries.writeBy(fresh));
        assertEquals(0, retries.writeBy(executed(ControlHarness.READ)));
        assertTrue(retries.isSafeAt(fresh, other));
        assertTrue(retries.isSafeAt(executed(ControlHarness.READ), other));
        assertFalse(retries.isSafeAt(executed(ControlHarness.WRITE), node));
    }

    @Test void aRetryMustBeginWithinTheWindow() {
        PendingRequest keyed = executed(ControlHarness.KEYED);
        keyed.possiblyExecutedSince = harness.now() - 3_959;
        assertTrue(retries.mayRetry(keyed));

        keyed.possiblyExecutedSince = harness.now() - 3_960;

        assertFalse(retries.mayRetry(keyed), "its backoff of 40 ms ends with the window");
    }

    @Test void attemptsAndTimeAreBounded() {
        PendingRequest request = executed(ControlHarness.READ);
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

    @Test void theBackoffGrowsWithTheAttemptsButATimeoutHasWaitedAlready() {
        PendingRequest request = executed(ControlHarness.READ);
        request.attempts = 3;

        assertEquals(harness.now() + 120, retries.retryAt(request, AttemptOutcome.RESET));
        assertEquals(harness.now(), retries.retryAt(request, AttemptOutcome.TIMED_OUT));
    }

    @Test void bothBudgetsBoundRetriesAndNoFirstAttempt() {
        PendingRequest first = harness.request("first", ControlHarness.READ, "v", 1, 0);
        PendingRequest retry = executed(ControlHarness.READ);
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
        PendingRequest retry = executed(ControlHarness.READ);

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

    @Test void aClientsRetryCountsInTheBudgetOfItsNodesAsItArrives() {
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
        assertEquals(0, retries.attemptTimeout(read, node), "nodes are thought too slow for that");
        harness.serve(node, 1, 20);
        PendingRequest later = harness.request("later", ControlHarness.READ, "v", 2, 0);

        assertEquals(300 - 20 - 2, retries.attemptTimeout(later, node), 1e-6);
        assertEquals(0, retries.attemptTimeout(write, node));
        later.late = true;
        assertEquals(0, retries.attemptTimeout(later, node));
    }

    @Test void aClientMayRetryWhatWasNotExecutedOrIsRecognisedEverywhere() {
        PendingRequest write = executed(ControlHarness.WRITE);
        assertFalse(retries.isSafeForClient(write));
        assertFalse(retries.isSafeForClient(executed(ControlHarness.KEYED)), "only its cell knows the key");
        assertTrue(retries.isSafeForClient(executed(ControlHarness.READ)));
        write.possiblyExecutedSince = -1;
        assertTrue(retries.isSafeForClient(write));

        harness.send(write, node);

        assertFalse(retries.isSafeForClient(write), "it may be executed yet");
    }
}
