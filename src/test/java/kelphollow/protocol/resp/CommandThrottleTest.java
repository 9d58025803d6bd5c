package kelphollow.protocol.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Commands of one connection above a burst wait, and so do those behind several invalid ones. */
class CommandThrottleTest {
    private static final double START = 1_000;
    private static final int BURST = 512;
    private final CommandThrottle throttle = new CommandThrottle(START);

    private void handle(int commands) {
        for (int i = 0; i < commands; i++) {
            throttle.handled();
        }
    }

    @Test void aBurstIsHandledAtOnceAndTheNextCommandWaitsForAToken() {
        handle(BURST - 1);
        assertEquals(0, throttle.waitFor(START));

        handle(1);

        assertEquals(0.25, throttle.waitFor(START));
        assertEquals(0, throttle.waitFor(START + 0.25));
    }

    @Test void tokensComeBackUpToOneBurst() {
        handle(BURST);

        assertEquals(0, throttle.waitFor(START + 60_000));
        handle(BURST);

        assertTrue(throttle.waitFor(START + 60_000) > 0);
    }

    @Test void severalInvalidCommandsDelayTheNextOne() {
        for (int i = 0; i < 3; i++) {
            throttle.invalid(START);
        }
        assertEquals(0, throttle.waitFor(START));

        throttle.invalid(START);

        assertEquals(50, throttle.waitFor(START));
        assertEquals(0, throttle.waitFor(START + 50));
    }
}
