package kelphollow.dissemination;

/**
 * Limits the bytes sent by two token buckets: all packets are charged, and deferrable ones wait while a bucket is empty. One
 * bucket enforces the sustained rate and accrues tokens for up to {@link #SAVED_SECONDS}; the other limits bursts to twice
 * the rate. Keeps the traffic of gossip from growing with the size of the fleet. Not thread-safe.
 */
public final class ByteBudget {
    /** How long twice the rate may be sent after a quiet period, as a start or a healed partition needs. */
    static final double SAVED_SECONDS = 10;
    private static final double BURST_FACTOR = 2;
    private static final double BURST_SECONDS = 0.5;
    // Bound of the debt, in seconds of the rate. Packets that must be sent are never held back: deferrable ones wait
    // afterwards until the debt is paid off.
    private static final double MAX_DEBT_SECONDS = 3;
    private final TokenBucket sustained;
    private final TokenBucket burst;
    private final double rate;

    /** Tokens that accrue with time up to a depth. */
    private static final class TokenBucket {
        private final double rate;
        private final double depth;
        private double tokens;
        private double updatedAt;

        TokenBucket(double rate, double seconds, double now) {
            this.rate = rate;
            this.depth = rate * seconds;
            this.tokens = depth;
            this.updatedAt = now;
        }

        double tokens(double now) {
            if (now > updatedAt) {
                tokens = Math.min(depth, tokens + (now - updatedAt) / 1_000 * rate);
                updatedAt = now;
            }
            return tokens;
        }

        void spend(double now, long bytes) {
            tokens = Math.max(-rate * MAX_DEBT_SECONDS, tokens(now) - bytes);
        }
    }

    /** Throws {@link IllegalArgumentException} unless {@code rate}, in bytes per second, is above 0. */
    public ByteBudget(double rate, double now) {
        if (!(rate > 0)) {
            throw new IllegalArgumentException("budget must be above 0 bytes per second, found " + rate);
        }
        this.rate = rate;
        this.sustained = new TokenBucket(rate, SAVED_SECONDS, now);
        this.burst = new TokenBucket(rate * BURST_FACTOR, BURST_SECONDS, now);
    }

    /** Charges bytes that were sent, whether or not the budget allowed them. */
    public void spend(double now, long bytes) {
        sustained.spend(now, bytes);
        burst.spend(now, bytes);
    }

    /** Whether deferrable packets may be sent. */
    public boolean allowsDeferrable(double now) {
        return sustained.tokens(now) > 0 && burst.tokens(now) > 0;
    }

    /** Whether packets that should not wait long may be sent: they may incur a debt of up to one second of the rate. */
    public boolean allowsDebt(double now) {
        return sustained.tokens(now) > -rate && burst.tokens(now) > -rate;
    }
}
