package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** An average that fades with a time constant of two seconds. */
class FadingLatencyTest {
    private final FadingLatency latency = new FadingLatency(40, 1_000);

    @Test void itFadesIntoAnotherValue() {
        assertEquals(40, latency.fadedInto(100, 1_000));
        assertEquals(100 - 60 / Math.E, latency.fadedInto(100, 3_000), 1e-9);
        assertEquals(40, latency.value(), "its own value stays");
    }

    @Test void aSampleIsAveragedWithWhatHasFaded() {
        latency.add(60, 1_000);
        assertEquals(60 - 0.88 * 20, latency.value(), 1e-9);

        latency.add(100, 1e9);

        assertEquals(100, latency.value(), 1e-9, "nothing is left of the old one");
    }

    @Test void aResetForgetsWhatWasBefore() {
        latency.reset(70, 2_000);

        assertEquals(70, latency.fadedInto(0, 2_000));
    }
}
