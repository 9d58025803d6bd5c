package kelphollow.membership;

/**
 * Times in milliseconds. {@link #USUAL} follows the papers' proportions at half a second a round.
 *
 * @param period one probe a round (SWIM's T')
 * @param timeout how long a probe waits before others are asked to probe
 * @param relays how many others are asked (SWIM's k)
 * @param spread how often fresh news goes to {@code fanout} members beside the probes
 * @param suspicionLeast Lifeguard's alpha: suspicion lasts at least so many rounds times log10 of the size
 * @param suspicionMost Lifeguard's beta: without confirmation it lasts so many times longer
 * @param confirmations Lifeguard's K: from so many independent accusers on it lasts no longer than the least
 * @param healthMost Lifeguard's S: the local health multiplier stays under this
 * @param rejoin how often, on average, somebody who is not seen alive is tried, and views are compared
 * @param mostMembers how many instances are kept; news of further ones is passed over
 * @param mostNews how many news one datagram carries
 * @param standstill a clock that moves on by more than this between two calls has stood still
 */
public record Settings(double period, double timeout, int relays, double spread, int fanout, double suspicionLeast,
                       double suspicionMost, int confirmations, int healthMost, double rejoin, int mostMembers,
                       int mostNews, double standstill) {
    public static final Settings USUAL = new Settings(500, 150, 3, 50, 3, 4, 6, 3, 8, 2_000, 1_024, 10, 250);

    /** Throws {@link IllegalArgumentException} naming what is out of bounds. */
    public Settings {
        require(period > 0, "period");
        require(timeout > 0 && timeout < period, "timeout");
        require(relays >= 0, "relays");
        require(spread > 0, "spread");
        require(fanout > 0, "fanout");
        require(suspicionLeast > 0, "suspicionLeast");
        require(suspicionMost >= 1, "suspicionMost");
        require(confirmations >= 1, "confirmations");
        require(healthMost >= 1, "healthMost");
        require(rejoin > 0, "rejoin");
        require(mostMembers > 1, "mostMembers");
        require(mostNews > 0, "mostNews");
        require(standstill > 0, "standstill");
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException(what + " is out of bounds");
        }
    }

    /** The same with rounds of another length; all that is counted in rounds follows. */
    public Settings withPeriod(double millis) {
        double by = millis / period;
        return new Settings(millis, timeout * by, relays, Math.min(spread, millis / 4), fanout, suspicionLeast,
            suspicionMost,
            confirmations, healthMost, rejoin * by, mostMembers, mostNews, Math.max(standstill, millis / 2));
    }
}
