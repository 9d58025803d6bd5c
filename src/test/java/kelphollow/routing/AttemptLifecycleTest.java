package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An attempt has exactly one outcome, whatever its backend reports. */
class AttemptLifecycleTest {
    private final RouterHarness harness = new RouterHarness();
    private final RequestRouter router = harness.router;

    @BeforeEach void start() {
        router.updateEndpoints(RouterHarness.healthy("a"), true);
        router.start(() -> {}, false);
    }

    private Attempt attempt() {
        harness.submit("read", "free", "k");
        return harness.sent.get(0);
    }

    @Test void onlyTheFirstOutcomeCounts() {
        Attempt attempt = attempt();

        attempt.ended(AttemptResult.of(AttemptOutcome.SERVED));
        attempt.ended(AttemptResult.of(AttemptOutcome.ERROR));
        attempt.ended(AttemptResult.of(AttemptOutcome.SERVED));
        harness.advance(10, 50);

        assertEquals(List.of("k"), harness.served);
        assertEquals(List.of(), harness.rejected);
        assertEquals(1, harness.sent.size(), "nothing is retried");
    }

    @Test void anAttemptIsInFlightUntilItsOutcomeAndMayNotBeSentAfterwards() {
        Attempt attempt = attempt();
        assertTrue(attempt.isInFlight());
        assertTrue(attempt.maySend());

        attempt.responseStarted();
        assertTrue(attempt.isResponding());
        assertTrue(attempt.isInFlight());

        attempt.ended(AttemptResult.of(AttemptOutcome.SERVED));
        assertFalse(attempt.isResponding());
        assertFalse(attempt.isInFlight());
        assertFalse(attempt.maySend());
    }

    @Test void aResponseThatStartsAfterTheOutcomeIsIgnored() {
        Attempt attempt = attempt();
        attempt.ended(AttemptResult.of(AttemptOutcome.ERROR));

        attempt.responseStarted();

        assertFalse(attempt.isResponding());
    }

    /** Otherwise the request is sent again while part of its response is with the client. */
    @Test void aTimeoutThatALateLoopHadQueuedDoesNotEndAResponseThatHasBegun() {
        harness.cancelledTimersFire = true;
        Attempt attempt = attempt();

        attempt.responseStarted();
        harness.advance(30, 100);

        assertTrue(attempt.isResponding());
        assertEquals(List.of(), harness.cancelled);
        assertEquals(1, harness.sent.size(), "nothing is sent again");
    }

    @Test void theLatencyOfAStreamedResponseEndsWithItsBeginning() {
        Attempt attempt = attempt();
        harness.advance(1, 20);
        attempt.requestSent();
        harness.advance(1, 5);

        attempt.responseStarted();
        harness.advance(1, 4);
        attempt.responseStarted();

        assertEquals(5, attempt.latency());
    }

    @Test void anAttemptIsCancelledOnceItsClientHasDisconnected() {
        Attempt attempt = attempt();

        router.clientDisconnected(attempt.request());

        assertEquals(List.of(attempt), harness.cancelled);
        assertFalse(attempt.isInFlight());
    }

    @Test void anExceptionInTheBackendFailsOneAttempt() {
        harness.fault = new IllegalStateException("thrown by the test");
        harness.submit("read", "free", "k");
        assertEquals(1, router.openRequests());

        harness.fault = null;
        harness.advance(10, 20);

        assertEquals(1, harness.sent.size(), "it is retried");
        assertEquals(List.of(), harness.rejected);
    }
}
