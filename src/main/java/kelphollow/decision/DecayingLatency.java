package kelphollow.decision;

/**
 * A moving average of latencies whose weight decays exponentially with its age. Times and latencies are
 * milliseconds. Constant memory; confined to the thread that drives {@link Control}.
 */
final class DecayingLatency {
    /** Time constant of the decay; short, because the queues of nodes change within seconds. */
    private static final double DECAY_MS = 2_000;

    private double value;
    private double sampledAt;

    DecayingLatency(double value, double sampledAt) {
        this.value = value;
        this.sampledAt = sampledAt;
    }

    /** Replaces the average by a single sample. */
    void reset(double sample, double now) {
        value = sample;
        sampledAt = now;
    }

    /** Adds a sample; the earlier average counts by what is left of it after the decay. */
    void add(double sample, double now) {
        value = sample + (1 - LatencyEstimate.SAMPLE_WEIGHT) * (decayedToward(sample, now) - sample);
        sampledAt = now;
    }

    /** The average at time {@code now}, decayed toward {@code other} according to its age. */
    double decayedToward(double other, double now) {
        return other + (value - other) * StrictMath.exp(-(now - sampledAt) / DECAY_MS);
    }

    /** The average at the time of its last sample, without decay. */
    double value() {
        return value;
    }
}
