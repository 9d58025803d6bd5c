package kelphollow.site;

/**
 * Holds further attempts at other sites to a part of first attempts, so that a site that is ill is not given more work
 * by all that gave up on another. Each first attempt puts a part of a token in, each further one takes a whole one
 * (the retry budget of Finagle's clients; the throttle of gRPC's proposal A6 does likewise). One event loop.
 */
public final class AttemptBudget {
    private final double part, most;
    private double tokens;

    /**
     * @param part so many further attempts for each first one, such as 0.1
     * @param most so many may come at once after a long calm
     */
    public AttemptBudget(double part, double most) {
        this.part = part;
        this.most = most;
        this.tokens = most;
    }

    public void first() {
        tokens = Math.min(most, tokens + part);
    }

    /** Takes a token for a further attempt; false if there is none, and the request must do without. */
    public boolean further() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
