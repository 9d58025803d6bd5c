package kelphollow.decision;

/**
 * A latency average that counts for less the older it is. Times and latencies are milliseconds. Constant
 * memory; confined to the thread that drives {@link Control}.
 */
final class DecayingLatency {
    /** Time constant of the decay: the queues of nodes change within seconds. */
    private static final double DECAY_MS = 2_000;

    private double value;
    private double sampledAt;

    DecayingLatency(double value, double sampledAt) {
        this.value = value;
        this.sampledAt = sampledAt;
    }

    /** Begins anew with a single sample. */
    void reset(double sample, double now) {
        value = sample;
        sampledAt = now;
    }

    /** Averages a sample with the earlier ones, as they have decayed since. */
    void add(double sample, double now) {
        value = sample + (1 - LatencyEstimate.SAMPLE_WEIGHT) * (decayedInto(sample, now) - sample);
        sampledAt = now;
    }

    /** The average, decaying into {@code other} with age. */
    double decayedInto(double other, double now) {
        return other + (value - other) * Math.exp(-(now - sampledAt) / DECAY_MS);
    }

    /** The average as of its last sample. */
    double value() {
        return value;
    }
}
