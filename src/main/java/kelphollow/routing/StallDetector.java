package kelphollow.routing;

/**
 * Measures for how long an event loop has been stalled: a heartbeat on a timer, and by how much each is late. Guards
 * against taking the scheduler's own stalls, at its start or when its share of the processor is used up, for slow nodes.
 * Confined to that loop.
 */
final class StallDetector {
    /** Time between two heartbeats, in milliseconds: short against any node's latency that counts. */
    private static final double HEARTBEAT_INTERVAL = 10;
    /** Lateness of a heartbeat that is no stall, in milliseconds. */
    private static final double TOLERANCE = 5;

    private final Ticker ticker;
    private double nextHeartbeatAt;
    private double stalledBefore;

    StallDetector(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Starts the heartbeats; they end with the loop. */
    void start() {
        nextHeartbeatAt = ticker.now();
        heartbeat();
    }

    private void heartbeat() {
        stalledBefore = stalledFor();
        nextHeartbeatAt = ticker.now() + HEARTBEAT_INTERVAL;
        ticker.after(HEARTBEAT_INTERVAL, this::heartbeat);
    }

    /** For how long in all, in milliseconds, the loop has had no processor or no time for what came in. */
    double stalledFor() {
        return stalledBefore + Math.max(0, ticker.now() - nextHeartbeatAt - TOLERANCE);
    }
}
