package kelphollow.decision;

import java.util.Map;

/**
 * Latency of one node by its answers: exponentially weighted averages, the best average, and
 * how long the oldest attempt has been out. Only served attempts are learned from, so that a fast error does
 * not look like a fast node. Times and latencies are milliseconds. Constant memory; confined to the thread
 * that drives {@link Control}.
 */
final class LatencyEstimate {
    /** Weight of a new sample in an average: about ten answers count. */
    static final double SAMPLE_WEIGHT = 0.12;
    /** A rise of the latency by unit is learned more slowly than a fall, by this factor. */
    private static final double RISE_SLOWDOWN = 5;
    /**
     * Time constant with which the best latency rises to the present one: a node slowed for good gets a new
     * best.
     */
    private static final double BEST_MEMORY_MS = 30_000;
    /** Up to this multiple of the best latency about one request waits for each one that is served. */
    private static final double NEAR_BEST = 2.0;
    /**
     * Share of the shortest objective that a request may spend at a node; the rest is for waiting here and
     * for chance.
     */
    private static final double NODE_SHARE = 0.5;
    /** An answer counts as lost after this multiple of the usual latency; it may still come. */
    static final double LOST_AFTER = 5;

    private final DecisionContext context;
    private final FleetLatency fleet;
    /** The node's attempts in flight, the oldest first; kept by {@link Node}. */
    private final Map<String, InFlightAttempt> inFlight;
    private final DecayingLatency recent;
    /** Latency of a mean request; 0 until one is known. */
    private double mean;
    private double perUnit;
    /** The best average of late; infinite until one is known. */
    private double best = Double.POSITIVE_INFINITY;
    private double bestAt;
    private double servedAt;
    /** The latest time at which a served attempt was sent: it has overtaken those sent before. */
    private double overtakenBefore;

    LatencyEstimate(DecisionContext context, FleetLatency fleet, Map<String, InFlightAttempt> inFlight) {
        this.context = context;
        this.fleet = fleet;
        this.inFlight = inFlight;
        double now = context.now();
        recent = new DecayingLatency(0, now);
        bestAt = now;
        servedAt = now;
    }

    /** Learns from a served attempt. */
    void served(double requestUnits, double took, double sentAt) {
        double now = context.now();
        double units = Math.max(1, requestUnits);
        double sample = learnMeanRequest(units, took);
        overtakenBefore = Math.max(overtakenBefore, sentAt);
        servedAt = now;
        mean = mean > 0 ? mean + SAMPLE_WEIGHT * (sample - mean) : sample;
        if (recent.value() > 0) {
            recent.add(sample, now);
        } else {
            recent.reset(sample, now);
        }
        fleet.served(sample);
        learnBest(now);
    }

    /** Learns the latency by unit and reduces an answer to the latency of a mean request. */
    private double learnMeanRequest(double units, double took) {
        double each = took / units;
        double weight = each < perUnit ? SAMPLE_WEIGHT : SAMPLE_WEIGHT / RISE_SLOWDOWN;
        perUnit = perUnit > 0 ? perUnit + weight * (each - perUnit) : each;
        return Math.max(each, took + (context.settings().meanUnits() - units) * perUnit);
    }

    private void learnBest(double now) {
        best += (mean - best) * (1 - Math.exp(-(now - bestAt) / BEST_MEMORY_MS));
        if (!(best <= mean)) {     // also when there was none: infinity gives no number
            best = mean;
        }
        bestAt = now;
    }

    /** Expected latency of a request of so many units. */
    double expected(double units) {
        return Math.max(perUnit, expected() + (units - context.settings().meanUnits()) * perUnit);
    }

    /**
     * Expected latency of a mean request: the latest average here, decaying into what all nodes show now, and
     * no less than the oldest attempt has been out. Guards against acting on old samples: with many instances
     * each hears of a node every few seconds only.
     */
    double expected() {
        for (InFlightAttempt attempt : inFlight.values()) {
            if (attempt.progressAt() > overtakenBefore && !isLost(attempt)) {
                return Math.max(usual(), context.now() - attempt.progressAt());
            }
        }
        return usual();
    }

    private double usual() {
        return recent.value() > 0 ? recent.decayedInto(fleet.current(), context.now()) : fleet.current();
    }

    /**
     * Whether an attempt has been out for longer than answers take, and was overtaken or is the first of its
     * kind: its answer may be lost. It tells nothing of the node and takes no place there; a second one does.
     */
    private boolean isLost(InFlightAttempt attempt) {
        if (context.now() - attempt.progressAt() <= LOST_AFTER * usual()) {
            return false;
        }
        for (InFlightAttempt first : inFlight.values()) {
            if (first == attempt || attempt.progressAt() <= overtakenBefore) {
                return true;
            }
            if (first.progressAt() > overtakenBefore) {
                return false;
            }
        }
        return false;
    }

    /** The number of attempts whose answers count as lost. */
    int lostAttempts() {
        int lost = 0;
        for (InFlightAttempt attempt : inFlight.values()) {
            if (isLost(attempt)) {
                lost++;
            }
        }
        return lost;
    }

    /** Up to this latency the concurrency window may grow. */
    double target() {
        return Math.min(NEAR_BEST * best, objectiveShare());
    }

    /** The same for a window of at most one request, which holds no queue at the node. */
    double targetOfSingleRequest() {
        return 2 * objectiveShare();
    }

    private double objectiveShare() {
        return context.shortestObjective() * NODE_SHARE;
    }

    /** Average latency of a mean request; 0 until one is known. */
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
