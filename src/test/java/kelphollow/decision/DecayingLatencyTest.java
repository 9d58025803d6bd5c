package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** An average that decays with a time constant of two seconds. */
class DecayingLatencyTest {
    private final DecayingLatency latency = new DecayingLatency(40, 1_000);

    @Test void itDecaysIntoAnotherValue() {
        assertEquals(40, latency.decayedToward(100, 1_000));
        assertEquals(100 - 60 / Math.E, latency.decayedToward(100, 3_000), 1e-9);
        assertEquals(40, latency.value(), "its own value stays");
    }

    @Test void aSampleIsAveragedWithWhatHasDecayed() {
        latency.add(60, 1_000);
        assertEquals(60 - 0.88 * 20, latency.value(), 1e-9);

        latency.add(100, 1e9);

        assertEquals(100, latency.value(), 1e-9, "nothing is left of the old one");
    }

    @Test void aResetForgetsWhatWasBefore() {
        latency.reset(70, 2_000);

        assertEquals(70, latency.decayedToward(0, 2_000));
    }
}
