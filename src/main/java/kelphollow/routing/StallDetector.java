package kelphollow.routing;

/**
 * Measures for how long an event loop has been stalled, by the lateness of a periodic heartbeat. Prevents stalls of the
 * scheduler itself, at its start or when its CPU share is used up, from being taken for slow nodes. Confined to that loop.
 */
final class StallDetector {
    /** Time between two heartbeats; short compared with any node latency that matters. */
    private static final double HEARTBEAT_INTERVAL_MS = 10;
    /** Lateness of a heartbeat up to which it is not a stall. */
    private static final double TOLERANCE_MS = 5;

    private final Ticker ticker;
    private double nextHeartbeatAt;
    private double stalledBefore;
    private double longestStall;

    StallDetector(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Starts the heartbeats; they end with the event loop. */
    void start() {
        nextHeartbeatAt = ticker.now();
        heartbeat();
    }

    private void heartbeat() {
        double stalled = stalledFor();
        longestStall = Math.max(longestStall, stalled - stalledBefore);
        stalledBefore = stalled;
        nextHeartbeatAt = ticker.now() + HEARTBEAT_INTERVAL_MS;
        ticker.after(HEARTBEAT_INTERVAL_MS, this::heartbeat);
    }

    /** Returns the longest stall since the last call, in milliseconds. */
    double takeLongestStall() {
        double longest = longestStall;
        longestStall = 0;
        return longest;
    }

    /** Total milliseconds for which the event loop got no CPU time or had no time for new input. */
    double stalledFor() {
        return stalledBefore + Math.max(0, ticker.now() - nextHeartbeatAt - TOLERANCE_MS);
    }
}
