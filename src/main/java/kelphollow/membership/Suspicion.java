package kelphollow.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * The suspicion timeout of one member (Lifeguard, LHA-Suspicion): falls from the longest to the shortest with the logarithm
 * of the number of independent accusers. Times are in milliseconds.
 */
final class Suspicion {
    private final double shortest;
    private final double longest;
    private final int confirmations;
    private final Set<String> accusers = new HashSet<>();
    private double startedAt;

    Suspicion(double now, double shortest, double longest, int confirmations, String accuser) {
        this.startedAt = now;
        this.shortest = shortest;
        this.longest = longest;
        this.confirmations = confirmations;
        accusers.add(accuser);
    }

    /** Adds an accuser. True if that shortens the timeout, so that the update should be gossiped. */
    boolean confirm(String accuser) {
        return accusers.size() <= confirmations && accusers.add(accuser);
    }

    /** Extends the timeout by the time for which this process was paused. */
    void extend(double millis) {
        startedAt += millis;
    }

    double expiresAt() {
        double confirmed = accusers.size() - 1;
        double fraction = Math.min(1, Math.log(confirmed + 1) / Math.log(confirmations + 1));
        return startedAt + Math.max(shortest, longest - (longest - shortest) * fraction);
    }
}
