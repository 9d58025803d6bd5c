package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A moving average that decays with a time constant of two seconds. */
class DecayingLatencyTest {
    private final DecayingLatency latency = new DecayingLatency(40, 1_000);

    @Test void decaysTowardAnotherValue() {
        assertEquals(40, latency.decayedToward(100, 1_000));
        assertEquals(100 - 60 / Math.E, latency.decayedToward(100, 3_000), 1e-9);
        assertEquals(40, latency.value(), "the stored value does not change");
    }

    @Test void sampleIsAveragedWithTheDecayedValue() {
        latency.add(60, 1_000);
        assertEquals(60 - 0.88 * 20, latency.value(), 1e-9);

        latency.add(100, 1e9);

        assertEquals(100, latency.value(), 1e-9, "the old value has decayed completely");
    }

    @Test void resetDiscardsEarlierSamples() {
        latency.reset(70, 2_000);

        assertEquals(70, latency.decayedToward(0, 2_000));
    }
}
