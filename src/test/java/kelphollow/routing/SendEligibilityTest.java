package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.EndpointListLease;
import org.junit.jupiter.api.Test;

/**
 * Nothing is sent without a valid lease on the endpoint list: not at a start, not while the source is silent, and not on a
 * connection that is established after the lease expired.
 */
class SendEligibilityTest {
    private static final double TERM = EndpointUpdateBudget.NOTIFIED_AFTER_MS - EndpointUpdateBudget.LOCAL_DELAY_MS;
    private final EndpointListLease lease =
        EndpointListLease.polled(EndpointUpdateBudget.NOTIFIED_AFTER_MS, EndpointUpdateBudget.LOCAL_DELAY_MS, 1);
    private final RouterHarness harness = new RouterHarness(lease);
    private final RequestRouter router = harness.router;

    private void receive(double asOf) {
        router.updateEndpoints(RouterHarness.healthy("a"), true, asOf);
    }

    @Test void requestsBeforeTheFirstListWaitForIt() {
        router.restoreEndpoints(RouterHarness.healthy("a"));
        harness.submit("read", "free", "k");
        harness.advance(50);
        assertEquals(List.of(), harness.sentTo());

        router.updateEndpoints(List.of(RouterHarness.node("a", EndpointState.DRAINING),
            RouterHarness.node("b", EndpointState.HEALTHY)), false, harness.now);

        assertEquals(List.of("b"), harness.sentTo(), "by the new list, not by the cached one");
    }

    @Test void aQueuedRequestIsRejectedInTime() {
        router.restoreEndpoints(RouterHarness.healthy("a"));

        harness.submit("read", "free", "k");
        harness.advance(10, 40);

        assertEquals(List.of("k"), harness.rejected);
        assertEquals(List.of(), harness.sentTo());
    }

    @Test void aLeaseThatExpiresStopsFirstAttemptsRetriesAndLateConnections() {
        receive(harness.now - TERM + 100);         // expires in 100 ms, well within the requests' deadlines
        harness.submit("read", "free", "connecting");
        harness.submit("keyed", "free", "retried");
        Attempt connecting = harness.sent.get(0);
        Attempt retried = harness.sent.get(1);

        harness.now += 99;
        assertTrue(connecting.maySend());
        router.endpointPollFailed(EndpointPollFailure.TIMED_OUT, harness.now - 50);
        harness.now += 1;
        assertFalse(connecting.maySend());
        retried.ended(AttemptResult.of(AttemptOutcome.CONNECT_FAILED));
        harness.submit("read", "free", "new");
        harness.advance(100);

        assertEquals(2, harness.sent.size());
    }

    @Test void anUnreachableServiceRenewsTheLeaseAndABrokenWatchDoesNot() {
        receive(harness.now);
        harness.now += TERM - 10;
        router.endpointPollFailed(EndpointPollFailure.WATCH_BROKEN, harness.now);
        harness.now += 10;
        harness.submit("read", "free", "queued");
        assertEquals(0, harness.sent.size());

        router.endpointPollFailed(EndpointPollFailure.UNREACHABLE, harness.now);

        assertEquals(1, harness.sent.size());
    }

    /**
     * The runtime check detects a module that sends what may not be sent. It runs in a separate process, since the count of
     * broken invariants is shared by all tests, and others expect it to be 0.
     */
    @Test void aModuleThatSendsWithoutALeaseBreaksAnInvariant() throws Exception {
        Process process = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-cp",
            System.getProperty("java.class.path"), SendEligibilityTest.class.getName()).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

        assertEquals(2, process.waitFor(), output);
        String violation = "decision module sent an attempt that may not be sent: request 0 attempt 0 at a (in flight), ";
        assertTrue(output.contains(violation + SendVerdict.LEASE_EXPIRED), output);
        assertTrue(output.contains(violation + SendVerdict.ENDPOINT_NOT_ELIGIBLE), output);
    }

    /**
     * Exits with the number of broken invariants: one by a lease that never began, one by a node that accepts no requests.
     */
    public static void main(String[] args) {
        SendEligibilityTest test = new SendEligibilityTest();
        RouterHarness harness = test.harness;
        test.receive(harness.now);
        harness.submit("read", "free", "k");
        Attempt attempt = harness.sent.get(0);
        SendEligibility eligibility = new SendEligibility(harness.ticker, node -> true, test.lease);
        EndpointListLease neverBegun = EndpointListLease.polled(TERM, 0, 1);

        eligibility.checkDecision(attempt, harness.now);
        eligibility.checkDecision(attempt, harness.now + 1_999);   // decided in time, however late it is now
        new SendEligibility(harness.ticker, node -> true, neverBegun).checkDecision(attempt, harness.now);
        new SendEligibility(harness.ticker, node -> false, test.lease).checkDecision(attempt, harness.now);

        System.exit((int) Invariant.broken());
    }
}
