package kelphollow.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kelphollow.site.LinkHealth.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When a link accepts requests, on a clock that the test advances. */
class LinkHealthTest {
    private static final double UNANSWERED = Double.NaN;
    private final LinkHealth health = new LinkHealth(LinkHealth.Options.DEFAULTS, 0);
    private double now;

    /** Advances the clock by {@code millis} with a fixed round trip; returns when the state first changed, or NaN. */
    private double run(double roundTrip, double millis) {
        double answerAt = Double.NaN;
        double changedAt = Double.NaN;
        State before = health.state(now);
        for (double until = now + millis; now < until; now++) {
            if (health.isPingDue(now)) {
                answerAt = now + roundTrip;
            }
            if (now >= answerAt) {
                health.pingAnswered(health.pingNumber(), now);
                answerAt = Double.NaN;
            }
            if (health.state(now) != before && Double.isNaN(changedAt)) {
                changedAt = now;
            }
        }
        return changedAt;
    }

    @ParameterizedTest @ValueSource(doubles = {1, 5, 40, 150}) void aStallIsDetectedWithinAFewRoundTrips(double roundTrip) {
        run(roundTrip, 5_000);
        assertEquals(State.UP, health.state(now), "round trip " + roundTrip);
        double stalledAt = now;

        double detectedAt = run(UNANSWERED, 3_000);

        assertEquals(State.STALLED, health.state(now));
        assertTrue(detectedAt - stalledAt <= 2 * LinkHealth.Options.DEFAULTS.pingInterval() + Math.max(70, 2 * roundTrip),
            "round trip " + roundTrip + ", detected after " + (detectedAt - stalledAt));
    }

    @Test void aStalledLinkTakesRequestsAgainOnlyAfterAnswersInTime() {
        run(5, 2_000);
        run(UNANSWERED, 3_000);

        health.pingAnswered(health.pingNumber(), now);              // the late answer
        assertEquals(State.STALLED, health.state(now));

        run(5, 200);
        assertEquals(State.UP, health.state(now));
        assertTrue(health.roundTrip() < 10, "the stall was counted as a round trip: " + health.roundTrip());
    }

    @Test void aLinkThatWasSilentForLongStaysDown() {
        run(5, 1_000);

        run(UNANSWERED, 11_000);
        assertEquals(State.DOWN, health.state(now));

        health.pingAnswered(health.pingNumber(), now);
        assertEquals(State.DOWN, health.state(now));
    }

    @Test void answersToOtherPingsThanTheLastAreIgnored() {
        run(5, 1_000);
        run(UNANSWERED, 500);

        health.pingAnswered(health.pingNumber() - 1, now);
        health.pingAnswered(health.pingNumber() + 7, now);

        assertEquals(State.STALLED, health.state(now));
    }
}
