package kelphollow.decision;

import java.util.Random;
import kelphollow.decision.ControlEvent.AttemptOutcome;

/**
 * Passive health of one node, by its attempts' outcomes and by what other instances report of it. A node that
 * is not responsive gets requests at a probe rate only. Times are milliseconds. Constant memory; confined to
 * the thread that drives {@link Control}.
 */
final class NodeHealth {
    /**
     * States of a node. All transitions are in {@link #served}, {@link #failed}, {@link #reported},
     * {@link #restarted}.
     */
    enum State {
        /** It answers for all that is known. */
        RESPONSIVE,
        /** Others found it unresponsive; it has not been tried from here since. */
        SUSPECTED,
        /** It restarted while it was suspected: it gets requests, but the first loss counts at once. */
        RESTARTED,
        /** Attempts of this instance failed. */
        UNRESPONSIVE;

        boolean isProbedOnly() {
            return this == SUSPECTED || this == UNRESPONSIVE;
        }
    }

    /** Time between two probes of a node; also the longest backoff from it. */
    private static final double PROBE_INTERVAL_MS = 1_000;
    /** Backoff after a first failure, doubled for each further one in a row. */
    private static final double BASE_BACKOFF_MS = 40;
    /** Doublings of the backoff at most. */
    private static final int MOST_DOUBLINGS = 10;

    private final Random random;
    private State state = State.RESPONSIVE;
    /** Whether an answer or connection was lost since the last answer: one is no sign of a faulty node. */
    private boolean lossForgiven;
    /** Whether the newest report names the node. */
    private boolean named;
    private int failures;
    private int probes;
    private double sendableAt;
    /** Average share of errors among the answers. */
    private double errorRate;

    /** @param random the source of the jitter with which suspected nodes are first probed */
    NodeHealth(Random random) {
        this.random = random;
    }

    State state() {
        return state;
    }

    /** Whether it gets requests at the probe rate only. */
    boolean isProbedOnly() {
        return state.isProbedOnly();
    }

    /** Time before which nothing may be sent to it. */
    double sendableAt() {
        return sendableAt;
    }

    /** How often it was probed since it last answered. */
    int probes() {
        return probes;
    }

    /** Whether so few of its answers are errors that it may take new objects. */
    boolean hasFewErrors() {
        return errorRate < LatencyEstimate.SAMPLE_WEIGHT;
    }

    /** A request goes out to it. */
    void sent(double now) {
        if (isProbedOnly()) {
            sendableAt = now + PROBE_INTERVAL_MS;
            probes++;
        }
    }

    /** It has served an attempt. */
    void served() {
        state = State.RESPONSIVE;
        failures = 0;
        probes = 0;
        lossForgiven = false;
        sendableAt = 0;
        errorRate *= 1 - LatencyEstimate.SAMPLE_WEIGHT;
    }

    /** An attempt has failed; the answer is whether that is a sign of a faulty node. */
    boolean failed(AttemptOutcome outcome, double now) {
        if (outcome == AttemptOutcome.ERROR) {
            errorRate += LatencyEstimate.SAMPLE_WEIGHT * (1 - errorRate);
            return false;
        }
        boolean trusted = state == State.RESPONSIVE || state == State.UNRESPONSIVE;
        if (outcome.mayBeIsolated() && !lossForgiven && trusted) {
            lossForgiven = true;
            return false;
        }
        state = State.UNRESPONSIVE;
        failures++;
        double backoff = BASE_BACKOFF_MS * Math.pow(2, Math.min(failures, MOST_DOUBLINGS));
        sendableAt = now + Math.min(PROBE_INTERVAL_MS, backoff);
        return true;
    }

    /**
     * Other instances' newest report names it or not. The report counts as one failure when it first does.
     */
    void reported(boolean isNamed, double now) {
        if (isNamed && !named && !isProbedOnly()) {
            state = State.SUSPECTED;
            failures = 1;
            sendableAt = now + PROBE_INTERVAL_MS * random.nextDouble();
        } else if (!isNamed && (state == State.SUSPECTED || state == State.RESTARTED)) {
            state = State.RESPONSIVE;
            failures = 0;
            sendableAt = 0;
        }
        named = isNamed;
    }

    /** It has restarted just now. */
    void restarted() {
        state = switch (state) {
            case RESPONSIVE, UNRESPONSIVE -> State.RESPONSIVE;
            case SUSPECTED, RESTARTED -> State.RESTARTED;
        };
        failures = 0;
        sendableAt = 0;
    }
}
