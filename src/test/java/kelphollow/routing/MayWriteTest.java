package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.*;

import java.util.List;
import java.util.Set;
import kelphollow.decision.ControlApi.Outcome;
import kelphollow.decision.ControlApi.Phase;
import org.junit.jupiter.api.Test;

/** Every bound that held when a node was chosen holds when the first byte is written, however long the dial took. */
class MayWriteTest {
    private final Harness h = new Harness();

    private Attempt dialling(String kind) {
        h.core.learn(List.of(Harness.node("a", Phase.HEALTHY)), true, false);
        h.ask(kind, "free", "k");
        Attempt first = h.sent.get(0);
        assertTrue(first.mayWrite());
        return first;
    }

    @Test void aRepeatIsNotWrittenOnceNodesMayHaveForgottenTheFirst() {
        Attempt first = dialling("keyed");
        h.pass(10);
        first.ended(Result.of(Outcome.RESET));
        h.pass(50);
        assertEquals(2, h.sent.size());
        Attempt repeat = h.sent.get(1);
        h.pass(58);
        assertTrue(repeat.mayWrite(), "118 ms after the first, which is remembered for 120");
        h.pass(1);
        assertFalse(repeat.mayWrite());
    }

    @Test void whatNeverRanHasNoSuchBound() {
        Attempt first = dialling("keyed");
        h.pass(10);
        first.ended(Result.of(Outcome.NO_CONNECTION));
        for (int i = 0; h.sent.size() < 2; i++) {
            assertTrue(i < 100);
            h.pass(10);
        }
        h.pass(500);
        assertTrue(h.sent.get(1).mayWrite());
    }

    @Test void nothingIsWrittenToANodeThatBeganToDrainOrWasBannedMeanwhile() {
        Attempt draining = dialling("read");
        h.core.learn(List.of(Harness.node("a", Phase.DRAINING)), false, false);
        assertFalse(draining.mayWrite());
        h.core.learn(List.of(Harness.node("a", Phase.HEALTHY)), false, false);
        assertTrue(draining.mayWrite());
        h.core.adoptBans(Set.of("a"));
        assertFalse(draining.mayWrite());
    }

    @Test void nothingIsWrittenForAClientThatHasGone() {
        Attempt attempt = dialling("read");
        h.core.gone(attempt.request());
        assertFalse(attempt.mayWrite());
    }

    @Test void nothingIsWrittenToANodeThatAWholeListNoLongerNames() {
        Attempt attempt = dialling("read");
        h.core.learn(List.of(Harness.node("b", Phase.HEALTHY)), true, false);
        assertFalse(attempt.mayWrite());
    }
}
