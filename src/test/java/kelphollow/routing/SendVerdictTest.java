package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.EndpointState;
import org.junit.jupiter.api.Test;

/** Every condition checked when a node was chosen is checked again before the first byte, however long connecting took. */
class SendVerdictTest {
    private final RouterHarness harness = new RouterHarness();
    private final RequestRouter router = harness.router;

    private Attempt connecting(String requestClass) {
        router.updateEndpoints(RouterHarness.healthy("a"), true);
        harness.submit(requestClass, "free", "k");
        Attempt first = harness.sent.get(0);
        assertTrue(first.maySend());
        return first;
    }

    private void receive(EndpointState state) {
        router.updateEndpoints(List.of(RouterHarness.node("a", state)), false);
    }

    @Test void aRetryIsNotSentOnceNodesMayHaveForgottenTheFirstAttempt() {
        Attempt first = connecting("keyed");
        harness.advance(10);
        first.ended(AttemptResult.of(AttemptOutcome.RESET));
        harness.advance(50);
        assertEquals(2, harness.sent.size());
        Attempt retry = harness.sent.get(1);

        harness.advance(58);
        assertTrue(retry.maySend(), "118 ms after the first attempt, which is remembered for 120 ms");
        harness.advance(1);
        assertFalse(retry.maySend());
    }

    @Test void aRetryOfARequestThatWasNeverExecutedIsNotBoundByTheWindow() {
        Attempt first = connecting("keyed");
        harness.advance(10);
        first.ended(AttemptResult.of(AttemptOutcome.CONNECT_FAILED));
        for (int i = 0; harness.sent.size() < 2; i++) {
            assertTrue(i < 100);
            harness.advance(10);
        }

        harness.advance(500);

        assertTrue(harness.sent.get(1).maySend());
    }

    @Test void nothingIsSentToANodeThatHasBegunDrainingOrMaintenance() {
        Attempt attempt = connecting("read");

        receive(EndpointState.DRAINING);
        assertFalse(attempt.maySend());
        receive(EndpointState.HEALTHY);
        assertTrue(attempt.maySend());
        router.setNodesInMaintenance(Set.of("a"));
        assertFalse(attempt.maySend());
    }

    @Test void nothingIsSentForAClientThatHasDisconnected() {
        Attempt attempt = connecting("read");

        router.clientDisconnected(attempt.request());

        assertFalse(attempt.maySend());
    }

    @Test void nothingIsSentToANodeThatACompleteListNoLongerNames() {
        Attempt attempt = connecting("read");

        router.updateEndpoints(RouterHarness.healthy("b"), true);

        assertFalse(attempt.maySend());
    }

    @Test void nothingIsSentForAClientWhoseInputHasBeenUnreadForTooLong() {
        Attempt attempt = connecting("read");
        harness.lastReadAt = harness.now;

        harness.now += 50;
        assertTrue(attempt.maySend());
        harness.now += 1;
        assertFalse(attempt.maySend());
    }

    @Test void aRetryWhoseClientMayHaveLeftIsRejectedWithoutAConnection() {
        Attempt first = connecting("read");
        harness.lastReadAt = harness.now;
        harness.advance(20);
        first.ended(AttemptResult.of(AttemptOutcome.AT_CAPACITY));
        harness.advance(40, 10);

        assertEquals(1, harness.sent.size());
        assertEquals(List.of("k"), harness.rejected);
    }

    @Test void anAttemptNotSentBecauseItsClientMayHaveLeftIsNotRepeated() {
        Attempt first = connecting("read");
        harness.lastReadAt = harness.now;
        harness.advance(60);
        assertFalse(first.maySend());

        harness.lastReadAt = Double.POSITIVE_INFINITY;
        first.ended(AttemptResult.of(AttemptOutcome.NOT_SENT));
        harness.advance(40, 10);

        assertEquals(1, harness.sent.size());
        assertEquals(List.of("k"), harness.rejected);
    }
}
