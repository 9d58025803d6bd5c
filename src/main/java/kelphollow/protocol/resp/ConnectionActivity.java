package kelphollow.protocol.resp;

import kelphollow.routing.Ticker;

/** Tracks a client connection's last activity and decides when it has been idle for too long. Confined to the event loop. */
final class ConnectionActivity {
    // For a connection that has not sent a request or has sent part of a command, or while connections are crowded.
    private static final double SHORT_IDLE_TIMEOUT_MS = 2_200;
    // For a connection that has sent requests, while connections are not crowded; also bounds the arrival of one command.
    private static final double IDLE_TIMEOUT_MS = 10_000;
    private static final double NONE = -1;

    private final Ticker ticker;
    private boolean hasRequested;
    private double lastAt;
    /** Clock time at which the first part of an incomplete command arrived, or {@link #NONE}. */
    private double incompleteSince = NONE;

    ConnectionActivity(Ticker ticker) {
        this.ticker = ticker;
        this.lastAt = ticker.now();
    }

    /** Records that data was read or written. */
    void touch() {
        lastAt = ticker.now();
    }

    /** Records the end of a read; {@code complete} says whether it brought at least one whole command. */
    void readEnded(boolean complete) {
        touch();
        if (complete) {
            incompleteSince = NONE;
        } else if (incompleteSince == NONE) {
            incompleteSince = lastAt;      // not the time of the last reply: a client may be idle before it sends slowly
        }
    }

    /** Records that the client has sent a command. */
    void requested() {
        hasRequested = true;
    }

    boolean hasRequested() {
        return hasRequested;
    }

    /** Returns the milliseconds since the last activity. */
    double idleMs() {
        return ticker.now() - lastAt;
    }

    /** Whether the connection has been idle for long enough to be closed; sooner if connections are {@code crowded}. */
    boolean hasExpired(boolean crowded) {
        boolean incomplete = incompleteSince != NONE;
        boolean useShortTimeout = !hasRequested || incomplete || crowded;
        return idleMs() >= (useShortTimeout ? SHORT_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS)
            || incomplete && ticker.now() - incompleteSince >= IDLE_TIMEOUT_MS;
    }
}
