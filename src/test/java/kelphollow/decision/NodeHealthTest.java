package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.NodeHealth.State;
import org.junit.jupiter.api.Test;

/** State transitions of a node's health. */
class NodeHealthTest {
    private static final double NOW = 1_000;

    private final NodeHealth health = new NodeHealth(new Random(1));

    @Test void aRefusedConnectionMakesANodeUnresponsive() {
        assertTrue(health.failed(AttemptOutcome.CONNECT_FAILED, NOW));

        assertEquals(State.UNRESPONSIVE, health.state());
        assertTrue(health.isProbedOnly());
        assertEquals(NOW + 80, health.sendableAt());
    }

    @Test void theBackoffDoublesUpToTheProbeInterval() {
        double[] backoffs = {80, 160, 320, 640, 1_000, 1_000};
        for (double backoff : backoffs) {
            health.failed(AttemptOutcome.CONNECT_FAILED, NOW);
            assertEquals(NOW + backoff, health.sendableAt());
        }
    }

    @Test void oneLossIsIgnoredUntilTheNextAnswer() {
        assertFalse(health.failed(AttemptOutcome.TIMED_OUT, NOW));
        assertEquals(State.RESPONSIVE, health.state());

        health.served();
        assertFalse(health.failed(AttemptOutcome.RESET, NOW));
        assertTrue(health.failed(AttemptOutcome.TIMED_OUT, NOW));

        assertEquals(State.UNRESPONSIVE, health.state());
    }

    @Test void anErrorKeepsNewObjectsAwayButNotOtherRequests() {
        assertFalse(health.failed(AttemptOutcome.ERROR, NOW));

        assertEquals(State.RESPONSIVE, health.state());
        assertFalse(health.hasFewErrors());
        health.served();
        assertTrue(health.hasFewErrors());
    }

    @Test void probesAreCountedAndSpacedUntilTheNodeAnswers() {
        health.sent(NOW);
        assertEquals(0, health.probes(), "a responsive node is not probed");
        health.failed(AttemptOutcome.CONNECT_FAILED, NOW);

        health.sent(NOW + 100);
        assertEquals(1, health.probes());
        assertEquals(NOW + 1_100, health.sendableAt());
        health.served();

        assertEquals(0, health.probes());
        assertEquals(0, health.sendableAt());
        assertEquals(State.RESPONSIVE, health.state());
    }

    @Test void aReportSuspectsANodeOnceAndWithJitter() {
        double jitter = new Random(1).nextDouble();
        health.reported(true, NOW);
        assertEquals(State.SUSPECTED, health.state());
        assertEquals(NOW + 1_000 * jitter, health.sendableAt());

        health.served();
        health.reported(true, NOW);

        assertEquals(State.RESPONSIVE, health.state(), "the same report counts once");
    }

    @Test void aReportWithoutTheNodeClearsOnlyASuspicion() {
        health.reported(true, NOW);
        health.reported(false, NOW);
        assertEquals(State.RESPONSIVE, health.state());
        assertEquals(0, health.sendableAt());

        health.failed(AttemptOutcome.CONNECT_FAILED, NOW);
        health.reported(true, NOW);
        health.reported(false, NOW);

        assertEquals(State.UNRESPONSIVE, health.state(), "this instance itself found the node unresponsive");
    }

    @Test void theFirstLossOfASuspectedNodeCounts() {
        health.reported(true, NOW);

        assertTrue(health.failed(AttemptOutcome.TIMED_OUT, NOW));

        assertEquals(State.UNRESPONSIVE, health.state());
        assertEquals(NOW + 160, health.sendableAt(), "the report was the first failure");
    }

    @Test void aRestartEndsProbing() {
        health.failed(AttemptOutcome.CONNECT_FAILED, NOW);
        health.restarted();
        assertEquals(State.RESPONSIVE, health.state());
        assertEquals(0, health.sendableAt());

        health.reported(true, NOW);
        health.restarted();

        assertEquals(State.RESTARTED, health.state());
        assertFalse(health.isProbedOnly());
        assertTrue(health.failed(AttemptOutcome.TIMED_OUT, NOW), "the first loss counts at once");
        assertEquals(NOW + 80, health.sendableAt());
    }
}
