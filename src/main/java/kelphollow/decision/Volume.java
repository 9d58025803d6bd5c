package kelphollow.decision;

import java.util.ArrayDeque;
import kelphollow.decision.ControlSettings.Plan;

/**
 * A volume at this instance: a flow of pClock with its arrival curve and tags, its reserve, its rate limit
 * and its usage. Times are milliseconds. Confined to the thread that drives {@link Control}.
 */
final class Volume {
    /**
     * A request whose start tag lies further than this behind its arrival exceeds the volume's quota;
     * milliseconds.
     */
    private static final double QUOTA_HORIZON_MS = 1000;
    private static final double MS_PER_SECOND = 1000;

    final Plan plan;
    final RateLimiter limiter;
    final UsageShare usage;
    /** Requests whose tags shift together, in the order of their tagging. */
    final ArrayDeque<PendingRequest> tagged = new ArrayDeque<>();
    /** Tokens of the arrival curve; negative when the volume runs ahead of it. */
    double numTokens;
    /** The latest start tag that the arrival curve allows. */
    double maxS;
    /** The earliest start tag among the tagged requests. */
    double minS;
    double lastArrivalAt;

    private final DecisionContext context;
    private final RequestSizes sizes;
    private double reserveLeft;
    private double reserveFilledAt;
    private double sheddingReserveLeft;
    private long sheddingPass;

    Volume(Plan plan, int instances, DecisionContext context, RequestSizes sizes) {
        this.plan = plan;
        this.context = context;
        this.sizes = sizes;
        double now = context.now();
        limiter = new RateLimiter(plan, instances, context.startedAt());
        usage = new UsageShare(now);
        lastArrivalAt = now;
        reserveFilledAt = now;
        numTokens = sigma();
        maxS = now;
        reserveLeft = reserveDepth();
    }

    /** This instance's share of the volume. */
    private double share() {
        return usage.share(1.0 / limiter.instances(), context.settings().meanUnits());
    }

    /** Rate of the arrival curve, units per second. */
    double rho() {
        return plan.rate() * share();
    }

    /**
     * Depth of the arrival curve: one second of it, or one largest request. With many instances a second of a
     * share is less than any request: tokens would never reach one, and every request would count as excess.
     */
    double sigma() {
        return Math.max(rho(), sizes.largest());
    }

    private double reserveDepth() {
        return plan.reserve() > 0 ? Math.max(plan.reserve() * share(), sizes.largest()) : 0;
    }

    private void refillReserve() {
        double now = context.now();
        double gained = (now - reserveFilledAt) / MS_PER_SECOND * plan.reserve() * share();
        reserveLeft = Math.min(reserveDepth(), reserveLeft + gained);
        reserveFilledAt = now;
    }

    void consumeReserve(double units) {
        refillReserve();
        reserveLeft = Math.max(-units, reserveLeft - units);
    }

    /**
     * Whether a request exceeds the quota while the reserve is spent: the first to yield, to other instances
     * too.
     */
    boolean isExcess(PendingRequest request) {
        refillReserve();
        return request.startTag > request.arrivedAt + QUOTA_HORIZON_MS && reserveLeft <= 0;
    }

    /**
     * The share of its priority weight that a queued request earns: all of it within the reserve, less within
     * the quota, least beyond. Each call within one {@code pass} over the queue uses up the reserve for the
     * next.
     */
    double sheddingShare(PendingRequest request, long pass) {
        if (sheddingPass != pass) {
            refillReserve();
            sheddingPass = pass;
            sheddingReserveLeft = reserveLeft;
        }
        if (sheddingReserveLeft > 0) {
            sheddingReserveLeft -= request.units();
            return 1;
        }
        ControlSettings settings = context.settings();
        return request.startTag <= request.arrivedAt + QUOTA_HORIZON_MS ? settings.quotaWeight()
            : settings.excessWeight();
    }
}
