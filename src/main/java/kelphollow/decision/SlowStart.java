package kelphollow.decision;

import java.util.ArrayDeque;
import java.util.OptionalDouble;
import kelphollow.decision.ControlSettings.Rules;

/**
 * Slow start: limits the load on one node while it warms up after its start. Each instance has an even quota
 * of the load that the node tolerates within the overload span. If the quota is less than a mean request,
 * requests are admitted at random. Times are milliseconds. Memory: one entry per request sent within the
 * span. Confined to the thread that drives {@link Control}.
 */
final class SlowStart {
    /**
     * Share of the tolerated load that random admission allocates; the rest covers surges and random
     * variation.
     */
    private static final double RANDOM_SHARE = 0.6;
    /** Load within the span, in mean requests, below which a second one is admitted if none is in flight. */
    private static final double SECOND_REQUEST_LIMIT_MEANS = 1.5;
    /** Lower bound of the initial share of full capacity, which is used as a divisor. */
    private static final double MIN_SHARE = 0.01;
    /** Number of entries above which each new one evicts those older than the span. */
    private static final int EVICTION_THRESHOLD = 4 * ConcurrencyWindow.MAX_SIZE;

    private record Sent(double at, double units) {}

    private final DecisionContext context;
    private final NodeTable nodes;
    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private double startedAt;
    /** Time at which this instance learned of the start. */
    private double learnedAt;

    SlowStart(DecisionContext context, NodeTable nodes) {
        this.context = context;
        this.nodes = nodes;
    }

    /**
     * Applies the start time from the endpoint list.
     *
     * @return whether it is a new start after which the node still warms up
     */
    boolean started(double at) {
        if (at > startedAt) {
            startedAt = at;
            if (isWarmingUp()) {
                learnedAt = context.now();
                return true;
            }
        }
        return false;
    }

    /** Whether the node started less than the slow start time ago. */
    boolean isWarmingUp() {
        return startedAt > 0 && context.now() - startedAt < context.rules().slowStartTime();
    }

    void sent(double units) {
        sent.add(new Sent(context.now(), units));
        if (sent.size() > EVICTION_THRESHOLD) {
            evictOldEntries();
        }
    }

    /**
     * Whether a node that warms up may be sent a request: always within the quota; if the quota is less than
     * a mean request, by the request's random number, one per span. Without random admission, a node that
     * restarts under a hundred instances would stay idle until it is warm.
     */
    boolean admits(PendingRequest request, boolean noneInFlight) {
        double meanUnits = context.settings().meanUnits();
        double units = sentWithinSpan();
        double quota = quota();
        if (units + request.units() <= quota) {
            return true;
        }
        boolean slotFree = units == 0 || noneInFlight && units < SECOND_REQUEST_LIMIT_MEANS * meanUnits;
        return quota < meanUnits && slotFree && !request.late
            && request.admissionDraw
                < backlogShare(request) * RANDOM_SHARE * ramp() * context.rules().overloadMultiple();
    }

    /** Spreads requests queued before the start over their queueing time, to prevent a burst. */
    private double backlogShare(PendingRequest request) {
        if (request.arrivedAt < learnedAt) {
            return Math.min(1, (context.now() - learnedAt) / (request.queuedUntil - request.arrivedAt));
        }
        return 1;
    }

    /** Present share of the node's full capacity. */
    private double ramp() {
        Rules rules = context.rules();
        double share = Math.max(MIN_SHARE, rules.slowStartShare());
        return share + (1 - share) * Math.max(0, context.now() - startedAt) / rules.slowStartTime();
    }

    /**
     * This instance's share of the load that the node tolerates within the span, in units: the configured
     * load, or more if the other nodes' best latencies indicate more. The estimate assumes that a node serves
     * one mean request at a time, as with one core, so that the sum of all quotas leaves room for a slower
     * node.
     */
    private double quota() {
        ControlSettings settings = context.settings();
        Rules rules = settings.rules();
        OptionalDouble best = nodes.medianBestLatency();
        double estimated = best.isEmpty() ? 0
            : rules.overloadMultiple() * rules.overloadSpan() * settings.meanUnits() / best.getAsDouble();
        double configured = rules.slowStartUnits() / Math.max(MIN_SHARE, rules.slowStartShare());
        return Math.max(configured, estimated) * ramp() / settings.instances();
    }

    private double sentWithinSpan() {
        evictOldEntries();
        double sum = 0;
        for (Sent s : sent) {
            sum += s.units();
        }
        return sum;
    }

    private void evictOldEntries() {
        double oldest = context.now() - context.rules().overloadSpan() - context.tick();
        while (!sent.isEmpty() && sent.peek().at() < oldest) {
            sent.poll();
        }
    }
}
