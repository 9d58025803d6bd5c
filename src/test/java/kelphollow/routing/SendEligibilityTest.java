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

/** Without a lease on the node list nothing is sent: not at a start, not after silence, not by a dial that comes up late. */
class SendEligibilityTest {
    private static final double TERM = EndpointUpdateBudget.TOLD_AFTER - EndpointUpdateBudget.OWN_LATENESS;
    private final EndpointListLease lease = EndpointListLease.polled(EndpointUpdateBudget.TOLD_AFTER,
        EndpointUpdateBudget.OWN_LATENESS, 1);
    private final RouterHarness h = new RouterHarness(lease);

    private void heard(double asOf) {
        h.router.learn(List.of(RouterHarness.node("a", EndpointState.HEALTHY)), true, asOf);
    }

    @Test void whatComesBeforeTheFirstWordLeavesWithIt() {
        h.router.learn(List.of(RouterHarness.node("a", EndpointState.HEALTHY)), true, true);
        h.ask("read", "free", "k");
        h.pass(50);
        assertEquals(List.of(), h.sentTo());
        h.router.learn(List.of(RouterHarness.node("a", EndpointState.DRAINING), RouterHarness.node("b",
            EndpointState.HEALTHY)), false, h.now);
        assertEquals(List.of("b"), h.sentTo(), "by the new list, not by the old one that is leased with it");
    }

    @Test void whatIsHeldIsRefusedInItsTimeWithAdvice() {
        h.router.learn(List.of(RouterHarness.node("a", EndpointState.HEALTHY)), true, true);
        h.ask("read", "free", "k");
        for (int i = 0; i < 40; i++) {
            h.pass(10);
        }
        assertEquals(List.of("k"), h.rejected);
        assertEquals(List.of(), h.sentTo());
    }

    @Test void aLeaseThatEndsStopsFirstTriesRepeatsAndLateDials() {
        heard(h.now - TERM + 100);         // it ends in 100 ms, well within the requests' time
        h.ask("read", "free", "dialled");
        h.ask("keyed", "free", "repeated");
        Attempt dialled = h.sent.get(0), repeated = h.sent.get(1);
        h.now += 99;
        assertTrue(dialled.maySend());
        h.router.endpointPollFailed(EndpointPollFailure.TIMED_OUT, h.now - 50);
        h.now += 1;
        assertFalse(dialled.maySend());
        repeated.ended(AttemptResult.of(AttemptOutcome.CONNECT_FAILED));
        h.ask("read", "free", "new");
        h.pass(100);
        assertEquals(2, h.sent.size());
    }

    @Test void anUnreachableServiceRenewsItAndABrokenWatchDoesNot() {
        heard(h.now);
        h.now += TERM - 10;
        h.router.endpointPollFailed(EndpointPollFailure.WATCH_BROKEN, h.now);
        h.now += 10;
        h.ask("read", "free", "held");
        assertEquals(0, h.sent.size());
        h.router.endpointPollFailed(EndpointPollFailure.UNREACHABLE, h.now);
        assertEquals(1, h.sent.size());
    }

    /**
     * The check at run time finds a module that sends what may not be sent. In a process of its own, since the count of
     * broken invariants is one for all tests, and others hold it to be 0.
     */
    @Test void aModuleThatSendsWithoutALeaseBreaksAnInvariant() throws Exception {
        Process other = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-cp",
            System.getProperty("java.class.path"), SendEligibilityTest.class.getName()).redirectErrorStream(true).start();
        String said = new String(other.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(2, other.waitFor(), said);
        String breach = "the module sends what may not be sent: request 0 attempt 0 at a (out), ";
        assertTrue(said.contains(breach + "LEASE_EXPIRED"), said);
        assertTrue(said.contains(breach + "ENDPOINT_NOT_ELIGIBLE"), said);
    }

    /** Ends with the number of invariants that it has broken: one by a lease that never began, one by a drained node. */
    public static void main(String[] args) {
        SendEligibilityTest test = new SendEligibilityTest();
        RouterHarness h = test.h;
        test.heard(h.now);
        h.ask("read", "free", "k");
        Attempt attempt = h.sent.get(0);
        SendEligibility gate = new SendEligibility(h.ticker, node -> true, test.lease);
        gate.confirms(attempt, h.now);
        gate.confirms(attempt, h.now + 1_999);   // decided in time, however late it is now
        new SendEligibility(h.ticker, node -> true, EndpointListLease.polled(TERM, 0, 1)).confirms(attempt, h.now);
        new SendEligibility(h.ticker, node -> false, test.lease).confirms(attempt, h.now);
        System.exit((int) Invariant.broken());
    }
}
