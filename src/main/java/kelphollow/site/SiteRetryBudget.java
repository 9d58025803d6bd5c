package kelphollow.site;

/**
 * Limits retries at other sites to a fraction of first attempts, so that a failing site does not also get all requests that
 * failed at another. Each first attempt adds a fraction of a token, each retry takes a whole token (as the retry budget of
 * Finagle's clients, and similar to the throttling of gRPC proposal A6). Confined to one event loop.
 */
public final class SiteRetryBudget {
    private final double tokensPerAttempt;
    private final double maxTokens;
    private double tokens;

    /**
     * @param tokensPerAttempt retries allowed per first attempt, such as 0.1
     * @param maxTokens largest burst of retries after a long time without any
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

    /** Takes a token for a retry; returns false if there is none, so that the request must not be retried. */
    public boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
