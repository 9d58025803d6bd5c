package kelphollow.decision;

import java.util.ArrayDeque;
import java.util.OptionalDouble;
import kelphollow.decision.ControlSettings.Rules;

/**
 * Limits what one node is sent while it warms up after its start. Each instance has an even quota of what the
 * node tolerates within the rule's span; where that is less than a request, requests are admitted at random.
 * Times are milliseconds. Memory: an entry for each request sent within the span. Confined to the thread that
 * drives {@link Control}.
 */
final class SlowStart {
    /**
     * Share of what the node tolerates that random admission gives out; the rest is for surges and for
     * chance.
     */
    private static final double RANDOM_SHARE = 0.6;
    /** Below so many mean requests within the span one more may go out while none is in flight. */
    private static final double FURTHER_REQUEST_BELOW = 1.5;
    /** Lower bound of the rule's share of full capacity, so that it can divide. */
    private static final double LEAST_SHARE = 0.01;
    /** From this number of entries on each new one drops those that are past the span. */
    private static final int MOST_ENTRIES = 4 * ConcurrencyWindow.MAX_SIZE;

    private record Sent(double at, double units) {}

    private final DecisionContext context;
    private final NodeTable nodes;
    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private double startedAt;
    private double learnedAt;

    SlowStart(DecisionContext context, NodeTable nodes) {
        this.context = context;
        this.nodes = nodes;
    }

    /**
     * The endpoint list names a start; the answer is whether it is a new one that the node still warms up
     * from.
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

    boolean isWarmingUp() {
        return startedAt > 0 && context.now() - startedAt < context.rules().slowStartTime();
    }

    void sent(double units) {
        sent.add(new Sent(context.now(), units));
        if (sent.size() > MOST_ENTRIES) {
            forgetPastSpan();
        }
    }

    /**
     * Whether a node that warms up takes a request: within the quota always; where the quota is less than a
     * mean request, by the request's random number, one in a span. Without that, a node that restarts under a
     * hundred instances would stay idle until it is warm.
     */
    boolean admits(PendingRequest request, boolean noneInFlight) {
        double meanUnits = context.settings().meanUnits();
        double units = sentWithinSpan();
        double quota = quota();
        if (units + request.units() <= quota) {
            return true;
        }
        boolean free = units == 0 || noneInFlight && units < FURTHER_REQUEST_BELOW * meanUnits;
        return quota < meanUnits && free && !request.late
            && request.admissionDraw
                < easing(request) * RANDOM_SHARE * ramp() * context.rules().overloadMultiple();
    }

    /** What was queued while the node was away leaves over as long as it may be queued, not at once. */
    private double easing(PendingRequest request) {
        if (request.arrivedAt < learnedAt) {
            return Math.min(1, (context.now() - learnedAt) / (request.queuedUntil - request.arrivedAt));
        }
        return 1;
    }

    /** Share of its full capacity that the node has now. */
    private double ramp() {
        Rules rules = context.rules();
        double share = Math.max(LEAST_SHARE, rules.slowStartShare());
        return share + (1 - share) * Math.max(0, context.now() - startedAt) / rules.slowStartTime();
    }

    /**
     * This instance's share of what the node tolerates within the span, in units: what the rule grants, or
     * more where the other nodes' best latencies show more. That counts one mean request at a time, as if
     * nodes had one core, so that the quotas of all instances together leave room for a slower node.
     */
    private double quota() {
        ControlSettings settings = context.settings();
        Rules rules = settings.rules();
        OptionalDouble best = nodes.medianBestLatency();
        double shown = best.isEmpty() ? 0
            : rules.overloadMultiple() * rules.overloadSpan() * settings.meanUnits() / best.getAsDouble();
        double granted = rules.slowStartUnits() / Math.max(LEAST_SHARE, rules.slowStartShare());
        return Math.max(granted, shown) * ramp() / settings.instances();
    }

    private double sentWithinSpan() {
        forgetPastSpan();
        double sum = 0;
        for (Sent s : sent) {
            sum += s.units();
        }
        return sum;
    }

    private void forgetPastSpan() {
        double oldest = context.now() - context.rules().overloadSpan() - context.tick();
        while (!sent.isEmpty() && sent.peek().at() < oldest) {
            sent.poll();
        }
    }
}
