package kelphollow.site;

/**
 * Bounds retries at other sites to a fraction of first attempts, so that a site that fails is not given the load of all
 * requests that gave up on another. Each first attempt adds a fraction of a token, each retry takes a whole one (the retry
 * budget of Finagle's clients; the throttling of gRPC's proposal A6 is alike). Confined to one event loop.
 */
public final class SiteRetryBudget {
    private final double tokensPerAttempt;
    private final double maxTokens;
    private double tokens;

    /**
     * @param tokensPerAttempt retries for each first attempt, such as 0.1
     * @param maxTokens how many retries may come at once after a long time without any
     */
    public SiteRetryBudget(double tokensPerAttempt, double maxTokens) {
        this.tokensPerAttempt = tokensPerAttempt;
        this.maxTokens = maxTokens;
        this.tokens = maxTokens;
    }

    /** Counts a first attempt. */
    public void firstAttempt() {
        tokens = Math.min(maxTokens, tokens + tokensPerAttempt);
    }

    /** Takes a token for a retry; false if there is none, and the request must not be retried. */
    public boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
