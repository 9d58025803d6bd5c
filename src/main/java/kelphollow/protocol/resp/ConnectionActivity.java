package kelphollow.protocol.resp;

import kelphollow.routing.Ticker;

/** When a client's connection last showed activity, and whether it has been idle for too long. For the event loop alone. */
final class ConnectionActivity {
    // In milliseconds: of a connection without a request so far, or with a command that came only in part.
    private static final double MAX_SILENCE = 2_200;
    // In milliseconds: of one with requests before, while there is room; no command may take longer to arrive either.
    private static final double MAX_IDLE = 10_000;
    private static final double NONE = -1;

    private final Ticker ticker;
    private boolean hasRequested;
    private double lastAt;
    /** When the command that has come only in part began to come, or {@link #NONE}. */
    private double incompleteSince = NONE;

    ConnectionActivity(Ticker ticker) {
        this.ticker = ticker;
        this.lastAt = ticker.now();
    }

    /** Something has been read or written. */
    void touch() {
        lastAt = ticker.now();
    }

    /** A read has ended; {@code complete} tells whether it brought a whole command. */
    void readEnded(boolean complete) {
        touch();
        if (complete) {
            incompleteSince = NONE;
        } else if (incompleteSince == NONE) {
            incompleteSince = lastAt;      // not since the last reply: a client may rest before it writes slowly
        }
    }

    /** A command has been read. */
    void requested() {
        hasRequested = true;
    }

    boolean hasRequested() {
        return hasRequested;
    }

    /** In milliseconds. */
    double idleFor() {
        return ticker.now() - lastAt;
    }

    /** Whether it has been idle for long enough to be closed; sooner where connections are {@code crowded}. */
    boolean hasExpired(boolean crowded) {
        boolean incomplete = incompleteSince != NONE;
        boolean impatient = !hasRequested || incomplete || crowded;
        return idleFor() >= (impatient ? MAX_SILENCE : MAX_IDLE)
            || incomplete && ticker.now() - incompleteSince >= MAX_IDLE;
    }
}
