package kelphollow.decision;

import java.util.ArrayDeque;

/** Requests of one key in an ordered class. Confined to the thread that drives {@link Control}. */
final class KeyOrder {
    /** Open requests in the order of their arrival; the first one has its turn. */
    final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();
    int inFlight;
    /** Time in milliseconds before which nothing is sent, since an attempt may still be executing. */
    double quietUntil;

    /** Whether nothing is in flight or may still be executing. */
    boolean isQuiet(double now) {
        return inFlight == 0 && now >= quietUntil;
    }

    /** Whether nothing is left to keep of the key. */
    boolean isOver(double now) {
        return waiting.isEmpty() && isQuiet(now);
    }
}
