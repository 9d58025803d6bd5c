package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The clock is monotonic. */
class DecisionClockTest {
    @Test void neverGoesBack() {
        DecisionClock clock = new DecisionClock(1_000);

        clock.advanceTo(1_000.5);
        clock.advanceTo(999);

        assertEquals(1_000.5, clock.now());
    }
}
