package kelphollow.dissemination;

/**
 * Token buckets of bytes: what is sent is charged, and deferrable packets wait while one is empty. One bucket holds the
 * sustained rate and saves up for {@link #SAVED_SECONDS}; one bounds a burst to twice the rate. Guards against a fleet whose
 * gossip grows with its size. For one thread.
 */
public final class ByteBudget {
    /** For how long twice the rate may be spent after a quiet period: what a healed partition or a start needs. */
    static final double SAVED_SECONDS = 10;
    private static final double BURST_FACTOR = 2;
    private static final double BURST_SECONDS = 0.5;
    // Bound of the debt, in seconds of the rate: packets that must be sent are never held back, but are made up for
    // afterwards.
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

    /** {@code rate}: bytes a second, above 0; else an {@link IllegalArgumentException} is thrown. */
    public ByteBudget(double rate, double now) {
        if (!(rate > 0)) {
            throw new IllegalArgumentException("a budget is above 0");
        }
        this.rate = rate;
        this.sustained = new TokenBucket(rate, SAVED_SECONDS, now);
        this.burst = new TokenBucket(rate * BURST_FACTOR, BURST_SECONDS, now);
    }

    /** Charges bytes that were sent; never refused. */
    public void spend(double now, long bytes) {
        sustained.spend(now, bytes);
        burst.spend(now, bytes);
    }

    /** Whether deferrable packets may be sent. */
    public boolean allowsDeferrable(double now) {
        return sustained.tokens(now) > 0 && burst.tokens(now) > 0;
    }

    /** Whether packets may be sent that should not wait long: they may borrow one second of the rate. */
    public boolean allowsDebt(double now) {
        return sustained.tokens(now) > -rate && burst.tokens(now) > -rate;
    }
}
