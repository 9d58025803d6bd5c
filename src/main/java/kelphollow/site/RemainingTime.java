package kelphollow.site;

/**
 * Converts a request's deadline between sites. Sites do not share a clock, so a request carries the remaining time as of its
 * sending, and each side measures it on its own clock. The remaining time does not include the network delay, so the local
 * side subtracts it for both directions. Stateless. Times are in milliseconds.
 */
public final class RemainingTime {
    /** Time before the deadline at which the local side responds to its client. */
    private static final double RESPONSE_MARGIN_MS = 8;
    /** Requests with less remaining time are not forwarded. */
    private static final double MIN_FORWARDING_TIME_MS = 10;

    private RemainingTime() {}

    /**
     * Returns the time that the remote site may use, or 0 if too little is left to deliver the request and its response
     * before the client's deadline.
     *
     * @param oneWayDelay upper bound on the delay of one direction
     */
    public static double forRemote(double deadline, double now, double oneWayDelay) {
        double remaining = deadline - now - RESPONSE_MARGIN_MS - 2 * oneWayDelay;
        return remaining >= MIN_FORWARDING_TIME_MS ? remaining : 0;
    }

    /** Returns the remote side's deadline for a request that just arrived. Implausible values are capped at {@code max}. */
    public static double remoteDeadline(double remaining, double max, double now) {
        return remaining > 0 ? now + Math.min(remaining, max) : now;
    }

    /** Returns when the local side responds to its client, even without a response of the remote side. */
    public static double localResponseAt(double deadline) {
        return deadline - RESPONSE_MARGIN_MS;
    }
}
