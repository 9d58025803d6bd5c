package kelphollow.decision;

import java.util.Map;

/**
 * Estimates the latency of one node from its answers (exponentially weighted averages and the best average)
 * and from the age of its oldest attempt in flight. Only served attempts count as samples, so that a fast
 * error does not look like a fast node. Times and latencies are milliseconds. Constant memory; confined to
 * the thread that drives {@link Control}.
 */
final class LatencyEstimate {
    /** Weight of a new sample in an average, which then covers about ten answers. */
    static final double SAMPLE_WEIGHT = 0.12;
    /** A rise of the latency per unit is followed more slowly than a fall, by this factor. */
    private static final double RISE_WEIGHT_DIVISOR = 5;
    /**
     * Time constant with which the best latency rises to the average, so that a permanently slower node gets
     * a new best latency.
     */
    private static final double BEST_TIME_CONSTANT_MS = 30_000;
    /** Multiple of the best latency at which about one request waits for each one being served. */
    private static final double TARGET_BEST_MULTIPLE = 2.0;
    /**
     * Share of the shortest latency objective that a request may spend at a node; the rest allows for
     * queueing at this instance and for random variation.
     */
    private static final double NODE_OBJECTIVE_SHARE = 0.5;
    /** An answer counts as lost after this multiple of the average latency, although it may still arrive. */
    static final double LOST_LATENCY_MULTIPLE = 5;

    private final DecisionContext context;
    private final FleetLatency fleet;
    /** The node's attempts in flight, the oldest first; maintained by {@link Node}. */
    private final Map<String, InFlightAttempt> inFlight;
    private final DecayingLatency recent;
    /** Average latency of a mean request; 0 until the first answer. */
    private double mean;
    /** Average latency per unit; 0 until the first answer. */
    private double perUnit;
    /** Lowest recent value of {@link #mean}; positive infinity until the first answer. */
    private double best = Double.POSITIVE_INFINITY;
    private double bestAt;
    private double servedAt;
    /** Latest sending time of a served attempt: that attempt has overtaken those sent before it. */
    private double newestServedSentAt;

    LatencyEstimate(DecisionContext context, FleetLatency fleet, Map<String, InFlightAttempt> inFlight) {
        this.context = context;
        this.fleet = fleet;
        this.inFlight = inFlight;
        double now = context.now();
        recent = new DecayingLatency(0, now);
        bestAt = now;
        servedAt = now;
    }

    /** Updates the averages by a served attempt. */
    void served(double requestUnits, double latency, double sentAt) {
        double now = context.now();
        double units = Math.max(1, requestUnits);
        double sample = toMeanRequestLatency(units, latency);
        newestServedSentAt = Math.max(newestServedSentAt, sentAt);
        servedAt = now;
        mean = mean > 0 ? mean + SAMPLE_WEIGHT * (sample - mean) : sample;
        if (recent.value() > 0) {
            recent.add(sample, now);
        } else {
            recent.reset(sample, now);
        }
        fleet.served(sample);
        updateBest(now);
    }

    /** Updates the latency per unit and converts the latency of an answer to that of a mean request. */
    private double toMeanRequestLatency(double units, double latency) {
        double latencyPerUnit = latency / units;
        double weight = latencyPerUnit < perUnit ? SAMPLE_WEIGHT : SAMPLE_WEIGHT / RISE_WEIGHT_DIVISOR;
        perUnit = perUnit > 0 ? perUnit + weight * (latencyPerUnit - perUnit) : latencyPerUnit;
        return Math.max(latencyPerUnit, latency + (context.settings().meanUnits() - units) * perUnit);
    }

    private void updateBest(double now) {
        best += (mean - best) * (1 - StrictMath.exp(-(now - bestAt) / BEST_TIME_CONSTANT_MS));
        if (!(best <= mean)) {     // also true for the first answer, where best has become NaN
            best = mean;
        }
        bestAt = now;
    }

    /** Expected latency of a request of the given size. */
    double expected(double units) {
        return Math.max(perUnit, expected() + (units - context.settings().meanUnits()) * perUnit);
    }

    /**
     * Expected latency of a mean request: the node's recent average, decaying toward the current average of
     * all nodes, and at least the age of the oldest attempt in flight. This prevents decisions on outdated
     * samples: in a large fleet each instance gets an answer of a node only every few seconds.
     */
    double expected() {
        for (InFlightAttempt attempt : inFlight.values()) {
            if (attempt.progressAt() > newestServedSentAt && !isLost(attempt)) {
                return Math.max(average(), context.now() - attempt.progressAt());
            }
        }
        return average();
    }

    private double average() {
        return recent.value() > 0 ? recent.decayedToward(fleet.current(), context.now()) : fleet.current();
    }

    /**
     * Whether the answer of an attempt counts as lost: it has been in flight for much longer than the average
     * latency, and it was overtaken or is the oldest attempt that was not. A single such attempt says nothing
     * about the node and does not use its capacity; a second one does.
     */
    private boolean isLost(InFlightAttempt attempt) {
        if (context.now() - attempt.progressAt() <= LOST_LATENCY_MULTIPLE * average()) {
            return false;
        }
        for (InFlightAttempt first : inFlight.values()) {
            if (first == attempt || attempt.progressAt() <= newestServedSentAt) {
                return true;
            }
            if (first.progressAt() > newestServedSentAt) {
                return false;
            }
        }
        return false;
    }

    /** Number of attempts whose answers count as lost. */
    int lostAttempts() {
        int lost = 0;
        for (InFlightAttempt attempt : inFlight.values()) {
            if (isLost(attempt)) {
                lost++;
            }
        }
        return lost;
    }

    /** Latency up to which the concurrency window may grow. */
    double target() {
        return Math.min(TARGET_BEST_MULTIPLE * best, objectiveShare());
    }

    /** The target for a window of at most one request, which causes no queue at the node. */
    double singleRequestTarget() {
        return 2 * objectiveShare();
    }

    private double objectiveShare() {
        return context.shortestObjective() * NODE_OBJECTIVE_SHARE;
    }

    /** Average latency of a mean request; 0 until the first answer. */
    double mean() {
        return mean;
    }

    double best() {
        return best;
    }

    double servedAt() {
        return servedAt;
    }
}
