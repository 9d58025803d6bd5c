package kelphollow.decision;

import java.util.ArrayDeque;
import kelphollow.decision.ControlSettings.Plan;

/**
 * A volume as scheduled by this instance: a pClock flow with its arrival curve and tags, its reserve, rate
 * limit and usage. Times are milliseconds. Confined to the thread that drives {@link Control}.
 */
final class Volume {
    /**
     * A request whose start tag is later than its arrival by more than this exceeds the volume's quota;
     * milliseconds.
     */
    private static final double QUOTA_HORIZON_MS = 1000;
    private static final double MS_PER_SECOND = 1000;

    final Plan plan;
    final RateLimiter limiter;
    final UsageShare usage;
    /** Requests whose tags are shifted together, in the order in which they were tagged. */
    final ArrayDeque<PendingRequest> tagged = new ArrayDeque<>();
    /** Tokens of the arrival curve; negative while the volume exceeds the curve. */
    double numTokens;
    /** The latest start tag that the arrival curve allows. */
    double maxS;
    /** The earliest start tag among the tagged requests. */
    double minS;
    double lastArrivalAt;
    /** Time of the last request, including those that were rejected on arrival. */
    double lastRequestAt;
    /** Requests without a final answer. */
    int openRequests;

    private final DecisionContext context;
    private final RequestSizes sizes;
    /** Units left in the reserve; at worst overdrawn by one request. */
    private double reserveLeft;
    private double reserveFilledAt;
    /** Units of the reserve not yet assigned in the current shedding pass. */
    private double sheddingReserveLeft;
    private long sheddingPass;

    /** {@code limitRefilledFrom}: time from which the limit has been refilled. */
    Volume(Plan plan, int instances, double limitRefilledFrom, DecisionContext context, RequestSizes sizes) {
        this.plan = plan;
        this.context = context;
        this.sizes = sizes;
        double now = context.now();
        limiter = new RateLimiter(plan, instances, limitRefilledFrom);
        usage = new UsageShare(now);
        lastArrivalAt = now;
        reserveFilledAt = now;
        numTokens = sigma();
        maxS = now;
        reserveLeft = reserveDepth();
    }

    /** This instance's share of the arrival curve and the reserve. */
    private double share() {
        return usage.share(1.0 / limiter.instances(), context.settings().meanUnits());
    }

    /**
     * Whether the volume can be forgotten: nothing of it is open, and a limiter created anew
     * would hold no more tokens than its own.
     */
    boolean isEvictable() {
        return openRequests == 0 && limiter.isFull(context.now());
    }

    /** Rate of the arrival curve, units per second. */
    double rho() {
        return plan.rate() * share();
    }

    /**
     * Depth of the arrival curve: one second of its rate, but at least one largest request. With many
     * instances, one second of a share is less than any request: the tokens would never suffice for one, and
     * every request would count as excess.
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

    /** Deducts units from the reserve, which may be overdrawn by at most this one request. */
    void consumeReserve(double units) {
        refillReserve();
        reserveLeft = Math.max(-units, reserveLeft - units);
    }

    /**
     * Whether a request exceeds the quota while the reserve is used up. Such requests yield first, also to
     * those of other instances.
     */
    boolean isExcess(PendingRequest request) {
        refillReserve();
        return request.startTag > request.arrivedAt + QUOTA_HORIZON_MS && reserveLeft <= 0;
    }

    /**
     * Share of its priority weight that a queued request counts for in load shedding: all of it within the
     * reserve, less within the quota, least beyond. Each call within one {@code pass} over a queue uses up
     * reserve that later calls of the pass no longer have.
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
