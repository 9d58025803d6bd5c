package kelphollow.decision;

import kelphollow.decision.ControlSettings.Plan;

/**
 * Token bucket of a volume's rate limit, with this instance's even share of the plan's rate and burst. An
 * instance that has just started does not know how many tokens its predecessor has used. It starts with
 * tokens borrowed from the limit's slack and repays them out of the refill, so that a fleet does not reject
 * its first seconds of traffic after a start.
 *
 * <p>Times are milliseconds. Constant memory; confined to the thread that drives {@link Control}.
 */
final class RateLimiter {
    /**
     * Share of the limit's slack that all instances together may borrow when they start; the rest covers late
     * requests.
     */
    private static final double BORROWABLE_SHARE = 0.75;
    /** Share of the refill that repays borrowed tokens. */
    private static final double REPAYMENT_SHARE = 0.25;
    private static final double MS_PER_SECOND = 1000;

    private final Plan plan;
    private int instances;
    /** Borrowed tokens not yet repaid. */
    private double borrowed;
    private double tokens;
    private double refilledAt;
    private double unitsPerMs;
    private double burst;
    /** Whether the limit was handed over to the next process: it is not refilled here any more. */
    private boolean handedOver;

    /**
     * Creates a bucket that refills from {@code startedAt} on.
     *
     * @param instances number of instances that share the limit, at least 1
     */
    RateLimiter(Plan plan, int instances, double startedAt) {
        this.plan = plan;
        refilledAt = startedAt;
        setInstances(instances, startedAt);
        borrowed = Math.min(burst, BORROWABLE_SHARE * plan.limitSlack() / instances);
        tokens = borrowed;
    }

    /**
     * Sets the number of instances that share the limit. A smaller share caps the tokens at once; a larger
     * one only refills faster.
     */
    void setInstances(int count, double now) {
        refill(now);
        instances = count;
        unitsPerMs = plan.limitRate() / instances / MS_PER_SECOND;
        burst = plan.limitBurst() / instances;
    }

    /** Number of instances that share the limit. */
    int instances() {
        return instances;
    }

    /** Continues with the tokens that the previous process left, with nothing left to repay. */
    void restore(double tokensLeft, double now) {
        tokens = Math.min(burst, tokensLeft);
        borrowed = 0;
        refilledAt = now;
    }

    /**
     * Hands the limit over to the next process, with all tokens but {@code kept}, which this process may
     * still use.
     *
     * @return the tokens for the next process
     */
    double handOver(double kept, double now) {
        double left = tokensNetOfBorrowed(now) - kept;
        handedOver = true;
        tokens = kept;
        borrowed = 0;
        return left;
    }

    /** Adds the tokens refilled since the last call, less the repayment, and returns the tokens. */
    private double refill(double now) {
        double refilled = handedOver ? 0 : (now - refilledAt) * unitsPerMs;
        double repayment = Math.min(borrowed, REPAYMENT_SHARE * refilled);
        borrowed -= repayment;
        tokens = Math.min(burst - borrowed, tokens + refilled - repayment);
        refilledAt = now;
        return tokens;
    }

    /** Tokens left less those not yet repaid, which is what a successor process may start with. */
    double tokensNetOfBorrowed(double now) {
        return refill(now) - borrowed;
    }

    /** Whether the bucket holds this many units now, or there is no limit. */
    boolean allows(double units, double now) {
        return unitsPerMs <= 0 || refill(now) >= units;
    }

    /** Whether the bucket holds all that it can, with nothing left to repay, or there is no limit. */
    boolean isFull(double now) {
        return unitsPerMs <= 0 || refill(now) >= burst;
    }

    /** Removes this many units, even if the bucket holds fewer. */
    void consume(double units) {
        if (unitsPerMs > 0) {
            tokens -= units;
        }
    }

    /**
     * Milliseconds until the bucket holds this many units, with the repayment in the meantime included; 0 if
     * the limit was handed over, since the next process may hold them.
     */
    double waitFor(double units, double now) {
        if (handedOver || allows(units, now)) {
            return 0;
        }
        double missing = units - tokens;
        return (missing + Math.min(borrowed, missing * REPAYMENT_SHARE / (1 - REPAYMENT_SHARE))) / unitsPerMs;
    }

    /**
     * Whether the bucket will hold this many units for another request only after {@code time}, or never
     * again.
     */
    boolean holdsOnlyAfter(double time, double units, double now) {
        return unitsPerMs > 0 && (handedOver || waitFor(units, now) > time - now);
    }
}
