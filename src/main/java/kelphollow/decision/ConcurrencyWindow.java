package kelphollow.decision;

/**
 * Adaptive bound on the requests that one node is given at once. It grows additively while the latency stays
 * near its target, and shrinks multiplicatively when it does not. Below one it is a rate: a request each so
 * many latencies. Constant memory; confined to the thread that drives {@link Control}.
 */
final class ConcurrencyWindow {
    /** Upper bound, in requests. */
    static final int CEILING = 32;
    /** Size at the start, in requests: a few fill a node with few cores. */
    private static final double START = 3;
    /** Lower bound, in requests: many instances with one request each can already overload a node. */
    private static final double FLOOR = 0.25;
    /** Factor of one multiplicative decrease; mild, since a single slow answer is mostly chance. */
    private static final double DECREASE = 0.8;

    private double size = START;
    private double shrunkAt;

    /** The bound in requests. */
    double size() {
        return size;
    }

    /** Whether so many attempts in flight make use of the whole window. */
    boolean isFilledBy(int inFlight) {
        return inFlight >= Math.floor(size);
    }

    /** An answer was served while the average latency was {@code latency}, in milliseconds. */
    void served(double latency, double target, boolean filledWindow, double now) {
        if (latency <= target) {
            if (filledWindow) {
                size = Math.min(CEILING, size + Math.min(size / 2, 1 / size));
            }
        } else if (now - shrunkAt > latency) {     // at most once in a latency
            shrunkAt = now;
            size = Math.max(size > 1 ? 1 : FLOOR, size * DECREASE);
        }
    }

    /** An attempt failed in a way that is a sign of a faulty node. */
    void failed() {
        size = Math.max(FLOOR, size / 2);
    }

    /** The node has restarted. */
    void restarted() {
        size = Math.min(size, START);
    }
}
