package kelphollow.protocol.object;

import kelphollow.routing.Ticker;

/**
 * How long a connection without an open request has been idle. Each chunk that comes counts anew, so that a slow writer is
 * not taken for one that is idle; but a complete head may take no longer than one idle time. In milliseconds; for the event
 * loop alone.
 */
final class ConnectionIdleTracker {
    private static final double NONE = -1;

    private final Ticker ticker;
    private final double maxIdle;
    private double idleSince;
    /** When the head that has come only in part began to come, or {@link #NONE}. */
    private double partialHeadSince = NONE;

    ConnectionIdleTracker(Ticker ticker, double maxIdle) {
        this.ticker = ticker;
        this.maxIdle = maxIdle;
        this.idleSince = ticker.now();
    }

    /** The connection is idle from now on. */
    void restart() {
        idleSince = ticker.now();
    }

    /** A read has brought part of a head. */
    void partialHead() {
        restart();
        if (partialHeadSince == NONE) {
            partialHeadSince = idleSince;
        }
    }

    /** A head has come. */
    void completeHead() {
        partialHeadSince = NONE;
    }

    double idleSince() {
        return idleSince;
    }

    boolean hasExpired() {
        return elapsed(ticker.now()) >= maxIdle;
    }

    /** Until when it expires at the earliest. */
    double remaining() {
        return maxIdle - elapsed(ticker.now());
    }

    private double elapsed(double now) {
        return Math.max(now - idleSince, partialHeadSince == NONE ? 0 : now - partialHeadSince);
    }
}
