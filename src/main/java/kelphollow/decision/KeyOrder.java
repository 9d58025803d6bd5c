package kelphollow.decision;

import java.util.ArrayDeque;

/**
 * Open requests with the same key in an ordered class. Confined to the thread that drives {@link Control}.
 */
final class KeyOrder {
    /** Open requests in order of arrival; only the first one may be sent. */
    final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();
    int inFlight;
    /** Time in milliseconds before which nothing is sent, because an attempt may still be executing. */
    double quietUntil;

    /** Whether no attempt is in flight or may still be executing. */
    boolean isQuiet(double now) {
        return inFlight == 0 && now >= quietUntil;
    }

    /** Whether the key has no requests and no attempts left and may be removed. */
    boolean isUnused(double now) {
        return waiting.isEmpty() && isQuiet(now);
    }
}
