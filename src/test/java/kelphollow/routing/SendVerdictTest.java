package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.EndpointState;
import org.junit.jupiter.api.Test;

/** Every bound that held when a node was chosen holds when the first byte is written, however long the dial took. */
class SendVerdictTest {
    private final RouterHarness h = new RouterHarness();

    private Attempt dialling(String kind) {
        h.router.learn(List.of(RouterHarness.node("a", EndpointState.HEALTHY)), true, false);
        h.ask(kind, "free", "k");
        Attempt first = h.sent.get(0);
        assertTrue(first.maySend());
        return first;
    }

    @Test void aRepeatIsNotWrittenOnceNodesMayHaveForgottenTheFirst() {
        Attempt first = dialling("keyed");
        h.pass(10);
        first.ended(AttemptResult.of(AttemptOutcome.RESET));
        h.pass(50);
        assertEquals(2, h.sent.size());
        Attempt repeat = h.sent.get(1);
        h.pass(58);
        assertTrue(repeat.maySend(), "118 ms after the first, which is remembered for 120");
        h.pass(1);
        assertFalse(repeat.maySend());
    }

    @Test void whatNeverRanHasNoSuchBound() {
        Attempt first = dialling("keyed");
        h.pass(10);
        first.ended(AttemptResult.of(AttemptOutcome.CONNECT_FAILED));
        for (int i = 0; h.sent.size() < 2; i++) {
            assertTrue(i < 100);
            h.pass(10);
        }
        h.pass(500);
        assertTrue(h.sent.get(1).maySend());
    }

    @Test void nothingIsWrittenToANodeThatBeganToDrainOrWasBannedMeanwhile() {
        Attempt draining = dialling("read");
        h.router.learn(List.of(RouterHarness.node("a", EndpointState.DRAINING)), false, false);
        assertFalse(draining.maySend());
        h.router.learn(List.of(RouterHarness.node("a", EndpointState.HEALTHY)), false, false);
        assertTrue(draining.maySend());
        h.router.adoptBans(Set.of("a"));
        assertFalse(draining.maySend());
    }

    @Test void nothingIsWrittenForAClientThatHasGone() {
        Attempt attempt = dialling("read");
        h.router.gone(attempt.request());
        assertFalse(attempt.maySend());
    }

    @Test void nothingIsWrittenToANodeThatAWholeListNoLongerNames() {
        Attempt attempt = dialling("read");
        h.router.learn(List.of(RouterHarness.node("b", EndpointState.HEALTHY)), true, false);
        assertFalse(attempt.maySend());
    }
}
