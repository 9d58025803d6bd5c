package kelphollow.decision;

import kelphollow.decision.ControlSettings.Plan;

/**
 * Token bucket of a volume's rate limit: this instance's even share of the plan's rate and burst. An instance
 * that has just started cannot know how many tokens its predecessor has used: it starts with a loan on the
 * limit's slack, and pays it back out of what flows in. Guards against a fleet that rejects its first seconds
 * of traffic after a start.
 *
 * <p>Times are milliseconds. Constant memory; confined to the thread that drives {@link Control}.
 */
final class RateLimiter {
    /**
     * Share of the limit's slack that all instances together may borrow at their start; the rest covers late
     * requests.
     */
    private static final double LOAN_SHARE = 0.75;
    /** Share of the inflow that pays back the loan. */
    private static final double REPAYMENT_SHARE = 0.25;
    private static final double MS_PER_SECOND = 1000;

    private final Plan plan;
    private int instances;
    private double loan;
    private double tokens;
    private double filledAt;
    private double unitsPerMs;
    private double burst;

    /** A bucket that fills from {@code startedAt} on, shared by at least one instance. */
    RateLimiter(Plan plan, int instances, double startedAt) {
        this.plan = plan;
        filledAt = startedAt;
        setInstances(instances, startedAt);
        loan = Math.min(burst, LOAN_SHARE * plan.limitSlack() / instances);
        tokens = loan;
    }

    /**
     * The newest number of instances binds: a smaller share is cut at once, a larger one only fills faster.
     */
    void setInstances(int count, double now) {
        refill(now);
        instances = count;
        unitsPerMs = plan.limitRate() / instances / MS_PER_SECOND;
        burst = plan.limitBurst() / instances;
    }

    /** The number of instances that share the limit. */
    int instances() {
        return instances;
    }

    /** Goes on from the tokens that the process before has left; nothing is owed any more. */
    void restore(double tokensLeft, double now) {
        tokens = Math.min(burst, tokensLeft);
        loan = 0;
        filledAt = now;
    }

    /** Adds what has flowed in since the last call, less what pays back the loan. */
    private double refill(double now) {
        double inflow = (now - filledAt) * unitsPerMs;
        double repayment = Math.min(loan, REPAYMENT_SHARE * inflow);
        loan -= repayment;
        tokens = Math.min(burst - loan, tokens + inflow - repayment);
        filledAt = now;
        return tokens;
    }

    /** The units left less what is still owed: what a successor may start with. */
    double tokensLessLoan(double now) {
        return refill(now) - loan;
    }

    /** Whether the bucket holds these units now, or there is no limit. */
    boolean allows(double units, double now) {
        return unitsPerMs <= 0 || refill(now) >= units;
    }

    /** Takes these units out, even if the bucket holds fewer. */
    void consume(double units) {
        if (unitsPerMs > 0) {
            tokens -= units;
        }
    }

    /** Milliseconds until the bucket holds these units, what is paid back meanwhile included. */
    double waitFor(double units, double now) {
        if (allows(units, now)) {
            return 0;
        }
        double missing = units - tokens;
        return (missing + Math.min(loan, missing * REPAYMENT_SHARE / (1 - REPAYMENT_SHARE))) / unitsPerMs;
    }

    /** Whether the bucket holds these units only after {@code time}. */
    boolean holdsOnlyAfter(double time, double units, double now) {
        return unitsPerMs > 0 && waitFor(units, now) > time - now;
    }
}
