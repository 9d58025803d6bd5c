package kelphollow.protocol.object;

import kelphollow.routing.Ticker;

/**
 * Measures how long a connection without an open request has been idle. Each read restarts the time, so that a client that
 * sends slowly does not count as idle. A complete request head must arrive within one idle timeout, however. Times are in
 * milliseconds. Confined to the event loop.
 */
final class ConnectionIdleTracker {
    private static final double NONE = -1;

    private final Ticker ticker;
    private final double maxIdle;
    private double idleSince;
    /** When the first bytes of an incomplete head arrived, or {@link #NONE}. */
    private double partialHeadSince = NONE;

    ConnectionIdleTracker(Ticker ticker, double maxIdle) {
        this.ticker = ticker;
        this.maxIdle = maxIdle;
        this.idleSince = ticker.now();
    }

    /** Restarts the idle time. */
    void restart() {
        idleSince = ticker.now();
    }

    /** A read brought part of a head. */
    void partialHead() {
        restart();
        if (partialHeadSince == NONE) {
            partialHeadSince = idleSince;
        }
    }

    /** A head is complete. */
    void completeHead() {
        partialHeadSince = NONE;
    }

    double idleSince() {
        return idleSince;
    }

    boolean hasExpired() {
        return elapsed(ticker.now()) >= maxIdle;
    }

    /** Shortest time in milliseconds until the connection expires. */
    double remaining() {
        return maxIdle - elapsed(ticker.now());
    }

    private double elapsed(double now) {
        return Math.max(now - idleSince, partialHeadSince == NONE ? 0 : now - partialHeadSince);
    }
}
