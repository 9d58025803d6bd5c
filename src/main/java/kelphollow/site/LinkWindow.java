package kelphollow.site;

/**
 * Concurrency window of a link: the number of requests that may be in flight. Adapts to latency as TCP Vegas does (Brakmo
 * and Peterson 1994): requests in flight beyond those that the base latency accounts for are queued somewhere. With fewer
 * than {@code alpha} of them queued the window grows by one per round, with more than {@code beta} it shrinks by one. It
 * doubles each round at first, and halves when the link stalls. The base latency expires, since the remote site's workload
 * changes. Confined to one event loop.
 */
public final class LinkWindow {
    /**
     * Parameters of the window, in requests; {@code baseLatencyLifetime} is in milliseconds.
     *
     * @param min the smallest window
     * @param initial the window of a new link
     * @param max the largest window
     * @param alpha the window grows while fewer are queued
     * @param beta the window shrinks while more are queued
     */
    public record Options(int min, int initial, int max, double alpha, double beta, double baseLatencyLifetime) {
        /** The values used unless the operator configures others. */
        public static final Options DEFAULTS = new Options(4, 32, 2_048, 4, 12, 30_000);
    }

    private final Options options;
    private double window;
    /** Estimated number of requests in flight in the last round that were queued somewhere. */
    private double queued;
    private int inFlight;
    private boolean doubling = true;
    private double roundStartedAt = Double.NEGATIVE_INFINITY;
    private double roundLatencySum;
    private int roundResponses;
    private boolean roundWasFull;
    /** The lowest latency in the current half of the lifetime, and in the previous half. */
    private double baseLatency = Double.POSITIVE_INFINITY;
    private double previousBaseLatency = Double.POSITIVE_INFINITY;
    private double halfStartedAt;

    /** Creates an empty window of the initial size. */
    public LinkWindow(Options options, double now) {
        this.options = options;
        this.window = options.initial;
        this.halfStartedAt = now;
    }

    /** Returns whether another request may be sent. */
    public boolean hasCapacity() {
        return inFlight < (int) window;
    }

    /** Returns the number of requests that may be in flight. */
    public int size() {
        return (int) window;
    }

    /** Returns the number of requests in flight. */
    public int inFlight() {
        return inFlight;
    }

    /** Counts a request that was sent. */
    public void sent() {
        inFlight++;
        roundWasFull |= inFlight >= (int) window;
    }

    /** Counts a response; {@code latency} is the time from sending to the first byte of the response, in milliseconds. */
    public void answered(double now, double latency) {
        inFlight--;
        if (now - halfStartedAt > options.baseLatencyLifetime / 2) {
            // Drain the queue: if it never emptied, the expired base latency would be replaced by one that includes queueing
            // (BBR drains for the same reason, Cardwell et al. 2016).
            window = Math.max(options.min, window - queued);
            previousBaseLatency = baseLatency;
            baseLatency = Double.POSITIVE_INFINITY;
            halfStartedAt = now;
        }
        baseLatency = Math.min(baseLatency, latency);
        roundLatencySum += latency;
        roundResponses++;
        if (now - roundStartedAt >= effectiveBaseLatency()) {
            endRound(now);
        }
    }

    /** Counts a request that ended without a response, and so without a latency. */
    public void abandoned() {
        inFlight--;
    }

    /** Halves the window after a stall of the link and stops doubling. */
    public void stalled() {
        window = Math.max(options.min, window / 2);
        doubling = false;
    }

    private double effectiveBaseLatency() {
        return Math.min(baseLatency, previousBaseLatency);
    }

    private void endRound(double now) {
        // The mean, as in Vegas: the minimum is not meaningful if requests are sent and answered in lockstep.
        double mean = roundLatencySum / roundResponses;
        queued = mean <= 0 ? 0 : window * (1 - effectiveBaseLatency() / mean);
        if (queued > options.beta) {
            window -= 1;
            doubling = false;
        } else if (queued < options.alpha && roundWasFull) {
            window = doubling ? window * 2 : window + 1;
        } else if (queued >= options.alpha) {
            doubling = false;
        }
        window = Math.max(options.min, Math.min(options.max, window));
        roundStartedAt = now;
        roundLatencySum = 0;
        roundResponses = 0;
        roundWasFull = inFlight >= (int) window;
    }
}
