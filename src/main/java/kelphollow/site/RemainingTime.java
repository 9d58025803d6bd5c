package kelphollow.site;

/**
 * The rest of a request's deadline on its way through sites. Clocks are not shared: a request carries its remaining time as
 * of its sending, and each side counts on from there on its own clock. The network's delay is not in that figure, so the
 * local side subtracts it for both directions. Stateless; times are milliseconds.
 */
public final class RemainingTime {
    /** How long before the deadline the local side answers its client. */
    private static final double RESPONSE_MARGIN = 8;
    /** With less than this a remote site is not asked. */
    private static final double MIN_USEFUL = 10;

    private RemainingTime() {}

    /**
     * What the remote site may use, or 0 if too little is left: the request must get there and its response back before the
     * client's deadline.
     *
     * @param oneWayDelay how long one direction may take
     */
    public static double forRemote(double deadline, double now, double oneWayDelay) {
        double remaining = deadline - now - RESPONSE_MARGIN - 2 * oneWayDelay;
        return remaining >= MIN_USEFUL ? remaining : 0;
    }

    /** The remote side's own deadline for what has just arrived. A figure that no client can mean is cut to {@code max}. */
    public static double remoteDeadline(double remaining, double max, double now) {
        return remaining > 0 ? now + Math.min(remaining, max) : now;
    }

    /** When the local side gives its own response, whatever the remote one does. */
    public static double localResponseAt(double deadline) {
        return deadline - RESPONSE_MARGIN;
    }
}
