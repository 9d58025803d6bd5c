package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.NodesSuspected;
import org.junit.jupiter.api.Test;

/** Conditions under which a node counts as unresponsive, and the requests that it gets then. */
class UnresponsiveNodeTest {
    @Test void oneLostAnswerDoesNotMakeANodeUnresponsive() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.request("lost", "write", "free", "v", 1, 0);
        scheduler.advanceTo(scheduler.now + 1000);
        for (int i = 0; i < 5; i++) {
            scheduler.request("r" + i, "read", "free", "v" + i, 1, 0);
            assertTrue(scheduler.sent().contains("r" + i), "requests are sent in addition to the lost attempt");
            scheduler.now += 20;
            scheduler.serve("r" + i, 20);
        }
    }

    @Test void aNodeSuspectedByOthersIsProbedUntilItAnswersThisInstance() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.on(new NodesSuspected(Set.of("n0")));
        assertEquals(Set.of(), scheduler.control.unresponsiveNodes().keySet(),
            "reports of other instances are not reported as its own");
        scheduler.advanceTo(scheduler.now + 1_001);
        scheduler.request("a", "read", "free", "v", 1, 0);
        scheduler.request("b", "read", "free", "w", 1, 0);
        assertEquals(List.of("a"), scheduler.sent(), "one probe at a time");
        scheduler.on(new NodesSuspected(Set.of("n0")));
        scheduler.end("a", AttemptOutcome.SERVED, 20);
        assertEquals(List.of("a", "b"), scheduler.sent(), "the node answered this instance");
        scheduler.on(new NodesSuspected(Set.of("n0")));
        scheduler.request("c", "read", "free", "v", 1, 0);
        assertEquals(List.of("a", "b", "c"), scheduler.sent(), "the same report counts once");
        scheduler.end("b", AttemptOutcome.CONNECT_FAILED, 20);
        assertEquals(Set.of("n0"), scheduler.control.unresponsiveNodes().keySet());
    }

    @Test void oneResetDoesNotMakeANodeUnresponsiveButTwoOrARefusedConnectionDo() {
        ControlHarness scheduler = ControlHarness.ready();
        for (int i = 0; i < 4; i++) {          // each reset is followed by an answer
            scheduler.request("r" + i, "write", "free", "v" + i, 1, 0);
            scheduler.now += 10;
            scheduler.end("r" + i, AttemptOutcome.RESET, 10);
            scheduler.request("s" + i, "write", "free", "s" + i, 1, 0);
            assertTrue(scheduler.sent().contains("s" + i), "the next request is sent at once after a reset");
            scheduler.now += 10;
            scheduler.serve("s" + i, 10);
            assertEquals(Set.of(), scheduler.control.unresponsiveNodes().keySet());
        }
        scheduler.now += 10;
        for (int i = 0; i < 2; i++) {
            scheduler.request("two" + i, "write", "free", "t" + i, 1, 0);
            scheduler.now += 10;
            scheduler.end("two" + i, AttemptOutcome.RESET, 10);
        }
        assertEquals(Set.of("n0"), scheduler.control.unresponsiveNodes().keySet());
        scheduler.request("gone", "write", "free", "g", 1, 1);
        scheduler.end("gone", AttemptOutcome.CONNECT_FAILED, 1);
        assertEquals(Set.of("n0", "n1"), scheduler.control.unresponsiveNodes().keySet(),
            "one refused connection makes a node unresponsive");
    }
}
