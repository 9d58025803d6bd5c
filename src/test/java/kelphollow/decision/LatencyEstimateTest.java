package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kelphollow.decision.ControlEvent.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Estimates from answers and from missing answers. A mean request has 2 units; the shortest objective is 300 ms. */
class LatencyEstimateTest {
    private static final double INITIAL_ESTIMATE = 100;

    private final StateHarness harness = new StateHarness();
    private final Node node = harness.node("n0", 0);

    private InFlightAttempt send(String id) {
        return harness.send(harness.request(id, ControlHarness.READ, "v", 2, 0), node);
    }

    @Test void initialEstimateAppliesBeforeTheFirstAnswer() {
        assertEquals(INITIAL_ESTIMATE, node.latency.expected());
        assertEquals(0, node.latency.mean());
        assertEquals(Double.POSITIVE_INFINITY, node.latency.best());
    }

    @Test void firstAnswerSetsAllAverages() {
        harness.serve(node, 1, 40);

        assertEquals(40, node.latency.mean());
        assertEquals(40, node.latency.best());
        assertEquals(40, node.latency.expected(), 1e-9);
        assertEquals(harness.now(), node.latency.servedAt());
    }

    @Test void furtherAnswersAreWeighted() {
        harness.serve(node, 1, 40);
        harness.serve(node, 1, 60);

        assertEquals(40 + 0.12 * 20, node.latency.mean(), 1e-9);
        assertTrue(node.latency.best() > 40 && node.latency.best() < 40.01, "the best rises slowly");
    }

    @Test void largerRequestsAreExpectedToTakeLonger() {
        harness.serve(node, 1, 40);

        assertEquals(40 + 3 * 20, node.latency.expected(5), 1e-9);
        assertEquals(20, node.latency.expected(0.5), 1e-9, "at least the latency of one unit");
    }

    @Test void oldSampleDecaysTowardTheFleetAverage() {
        harness.serve(node, 1, 40);
        Node other = harness.node("n1", 1);
        harness.advance(20_000);
        harness.serve(other, 60, 80);

        assertTrue(node.latency.expected() > 70, "expected " + node.latency.expected());
    }

    @Test void attemptInFlightForLongerRaisesTheEstimate() {
        harness.serve(node, 1, 40);
        send("slow");

        harness.advance(120);

        assertEquals(120, node.latency.expected(), 1e-9);
    }

    @Test void firstUnansweredAttemptCountsAsLostAndTheSecondDoesNot() {
        harness.serve(node, 1, 40);
        send("lost");
        harness.advance(1_000);
        assertEquals(1, node.latency.lostAttempts());
        assertTrue(node.latency.expected() < 200, "a single lost answer does not raise the estimate");

        send("second");
        harness.advance(1_000);

        assertEquals(1, node.latency.lostAttempts());
        assertEquals(1_000, node.latency.expected(), 1e-9);
    }

    @Test void overtakenAttemptDoesNotAffectTheEstimate() {
        harness.serve(node, 1, 40);
        send("overtaken");
        harness.advance(1);
        InFlightAttempt later = send("later");
        harness.advance(40);
        harness.end(later, AttemptOutcome.SERVED);

        harness.advance(100);

        assertTrue(node.latency.expected() < 60, "expected " + node.latency.expected());
    }

    @Test void targetIsTwiceTheBestAndAtMostHalfTheObjective() {
        harness.serve(node, 1, 40);
        assertEquals(80, node.latency.target());
        assertEquals(300, node.latency.singleRequestTarget());

        harness.serve(node, 300, 200);

        assertEquals(150, node.latency.target());
    }
}
