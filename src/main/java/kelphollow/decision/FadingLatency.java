package kelphollow.decision;

/**
 * A latency average that counts for less the older it is. Times and latencies are milliseconds. Constant
 * memory; confined to the thread that drives {@link Control}.
 */
final class FadingLatency {
    /** Time constant with which a latency fades: queues turn within seconds. */
    private static final double FADE_MS = 2_000;

    private double value;
    private double seenAt;

    FadingLatency(double value, double seenAt) {
        this.value = value;
        this.seenAt = seenAt;
    }

    /** Begins anew with a single sample. */
    void reset(double sample, double now) {
        value = sample;
        seenAt = now;
    }

    /** Averages a sample with what was seen before, as that has faded since. */
    void add(double sample, double now) {
        value = sample + (1 - LatencyEstimate.SAMPLE_WEIGHT) * (fadedInto(sample, now) - sample);
        seenAt = now;
    }

    /** The average, fading into {@code other} with age. */
    double fadedInto(double other, double now) {
        return other + (value - other) * Math.exp(-(now - seenAt) / FADE_MS);
    }

    /** The average as of its last sample. */
    double value() {
        return value;
    }
}
