package kelphollow.decision;

import java.util.Random;
import kelphollow.decision.ControlEvent.AttemptOutcome;

/**
 * Passive health check of one node, based on the outcomes of its attempts and on the reports of other
 * instances. A suspected or unresponsive node gets requests at the probe rate only. Times are milliseconds.
 * Constant memory; confined to the thread that drives {@link Control}.
 */
final class NodeHealth {
    /**
     * States of a node. All transitions are in {@link #served}, {@link #failed}, {@link #reported},
     * {@link #restarted}.
     */
    enum State {
        /** As far as is known, the node answers. */
        RESPONSIVE,
        /** Other instances report the node as unresponsive; this instance has not confirmed it. */
        SUSPECTED,
        /** The node restarted while suspected: it gets requests, but the first loss counts as a failure. */
        RESTARTED,
        /** Attempts of this instance failed. */
        UNRESPONSIVE;

        boolean isProbedOnly() {
            return this == SUSPECTED || this == UNRESPONSIVE;
        }
    }

    /** Time between two probes of a node, and the longest backoff. */
    private static final double PROBE_INTERVAL_MS = 1_000;
    /** Base of the backoff, which doubles with each consecutive failure: the first failure gives 80 ms. */
    private static final double BASE_BACKOFF_MS = 40;
    /** Bound on the exponent of the backoff. */
    private static final int MAX_DOUBLINGS = 10;

    private final Random random;
    private State state = State.RESPONSIVE;
    /** Whether a lost answer or connection was ignored since the last answer: one loss proves no fault. */
    private boolean lossIgnored;
    /** Whether the latest report of other instances names the node. */
    private boolean inLatestReport;
    /** Consecutive failures. */
    private int failures;
    /** Probes since the last answer. */
    private int probes;
    private double sendableAt;
    /** Exponentially weighted average of the share of errors among the answers. */
    private double errorRate;

    /** @param random source of the jitter on the first probe of a suspected node */
    NodeHealth(Random random) {
        this.random = random;
    }

    State state() {
        return state;
    }

    /** Whether the node gets requests at the probe rate only. */
    boolean isProbedOnly() {
        return state.isProbedOnly();
    }

    /** Time before which nothing may be sent to the node. */
    double sendableAt() {
        return sendableAt;
    }

    /** Number of probes since the node last answered. */
    int probes() {
        return probes;
    }

    /** Whether the error rate is low enough for new objects. */
    boolean hasFewErrors() {
        return errorRate < LatencyEstimate.SAMPLE_WEIGHT;
    }

    /** Records a send; to a node that is probed only, it counts as a probe and delays the next one. */
    void sent(double now) {
        if (isProbedOnly()) {
            sendableAt = now + PROBE_INTERVAL_MS;
            probes++;
        }
    }

    /** Records a successful attempt, which makes the node responsive. */
    void served() {
        state = State.RESPONSIVE;
        failures = 0;
        probes = 0;
        lossIgnored = false;
        sendableAt = 0;
        errorRate *= 1 - LatencyEstimate.SAMPLE_WEIGHT;
    }

    /**
     * Records a failed attempt.
     *
     * @return whether the failure counts against the node
     */
    boolean failed(AttemptOutcome outcome, double now) {
        if (outcome == AttemptOutcome.ERROR) {
            errorRate += LatencyEstimate.SAMPLE_WEIGHT * (1 - errorRate);
            return false;
        }
        boolean trusted = state == State.RESPONSIVE || state == State.UNRESPONSIVE;
        if (outcome.mayBeIsolated() && !lossIgnored && trusted) {
            lossIgnored = true;
            return false;
        }
        state = State.UNRESPONSIVE;
        failures++;
        double backoff = BASE_BACKOFF_MS * StrictMath.pow(2, Math.min(failures, MAX_DOUBLINGS));
        sendableAt = now + Math.min(PROBE_INTERVAL_MS, backoff);
        return true;
    }

    /**
     * Applies the latest report of other instances. The first report that names the node counts as one
     * failure.
     */
    void reported(boolean inReport, double now) {
        if (inReport && !inLatestReport && !isProbedOnly()) {
            state = State.SUSPECTED;
            failures = 1;
            sendableAt = now + PROBE_INTERVAL_MS * random.nextDouble();
        } else if (!inReport && (state == State.SUSPECTED || state == State.RESTARTED)) {
            state = State.RESPONSIVE;
            failures = 0;
            sendableAt = 0;
        }
        inLatestReport = inReport;
    }

    /** Records a restart of the node, which clears the backoff. */
    void restarted() {
        state = switch (state) {
            case RESPONSIVE, UNRESPONSIVE -> State.RESPONSIVE;
            case SUSPECTED, RESTARTED -> State.RESTARTED;
        };
        failures = 0;
        sendableAt = 0;
    }
}
