package kelphollow.decision;

/**
 * Adaptive bound on the number of requests in flight at one node (AIMD): it grows additively while the
 * latency is within its target and shrinks multiplicatively otherwise. A size below one is a rate: one
 * request per {@code 1 / size} latencies. Constant memory; confined to the thread that drives
 * {@link Control}.
 */
final class ConcurrencyWindow {
    /** Upper bound, in requests. */
    static final int MAX_SIZE = 32;
    /** Size at the start, in requests: a few requests are enough to fill a node with few cores. */
    private static final double INITIAL_SIZE = 3;
    /** Lower bound, in requests; below 1 because many instances with one request each can overload a node. */
    private static final double MIN_SIZE = 0.25;
    /**
     * Factor of one multiplicative decrease; mild, because a single slow answer is mostly random variation.
     */
    private static final double DECREASE_FACTOR = 0.8;

    private double size = INITIAL_SIZE;
    private double shrunkAt;

    /** Current bound, in requests. */
    double size() {
        return size;
    }

    /** Whether {@code inFlight} attempts use the whole window. */
    boolean isFilledBy(int inFlight) {
        return inFlight >= Math.floor(size);
    }

    /**
     * Adjusts the window after a served attempt. Times are milliseconds.
     *
     * @param latency average latency of the node
     * @param target latency up to which the window may grow
     * @param filledWindow whether the attempt filled the window when it was sent; only then does the window
     *     grow
     * @param now clock time
     */
    void served(double latency, double target, boolean filledWindow, double now) {
        if (latency <= target) {
            if (filledWindow) {
                size = Math.min(MAX_SIZE, size + Math.min(size / 2, 1 / size));
            }
        } else if (now - shrunkAt > latency) {     // at most one decrease per latency
            shrunkAt = now;
            size = Math.max(size > 1 ? 1 : MIN_SIZE, size * DECREASE_FACTOR);
        }
    }

    /** Halves the window after an attempt whose failure is a sign of a faulty node. */
    void failed() {
        size = Math.max(MIN_SIZE, size / 2);
    }

    /** Shrinks the window to its initial size when the node has restarted. */
    void restarted() {
        size = Math.min(size, INITIAL_SIZE);
    }
}
