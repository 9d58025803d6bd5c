package kelphollow.site;

/**
 * Concurrency window of a link: how many requests may be in flight. Follows latency as TCP Vegas does (Brakmo and Peterson
 * 1994): what is in flight beyond what the base latency needs is queued somewhere; with less than {@code alpha} of it the
 * window grows by one per round, with more than {@code beta} it shrinks by one. At first it doubles each round, and it
 * falls to half when the link stalls. The base latency expires, since the remote site's work changes. Confined to one event
 * loop.
 */
public final class LinkWindow {
    /**
     * Numbers of requests, except {@code baseLatencyLifetime}, which is in milliseconds.
     *
     * @param min the smallest window
     * @param initial the window at first
     * @param max the largest window
     * @param alpha the window grows while fewer are queued
     * @param beta the window shrinks while more are queued
     */
    public record Options(int min, int initial, int max, double alpha, double beta, double baseLatencyLifetime) {
        /** What holds where the operator sets nothing. */
        public static final Options DEFAULTS = new Options(4, 32, 2_048, 4, 12, 30_000);
    }

    private final Options options;
    private double window;
    /** How many of those in flight in the last round were queued somewhere. */
    private double queued;
    private int inFlight;
    private boolean doubling = true;
    private double roundStartedAt = Double.NEGATIVE_INFINITY;
    private double roundLatencySum;
    private int roundResponses;
    private boolean roundWasFull;
    /** The least latency of this half of the lifetime, and of the half before it. */
    private double baseLatency = Double.POSITIVE_INFINITY;
    private double previousBaseLatency = Double.POSITIVE_INFINITY;
    private double halfStartedAt;

    /** An empty window of the initial size. */
    public LinkWindow(Options options, double now) {
        this.options = options;
        this.window = options.initial;
        this.halfStartedAt = now;
    }

    /** Whether one more request may be sent. */
    public boolean hasRoom() {
        return inFlight < (int) window;
    }

    /** How many requests may be in flight. */
    public int size() {
        return (int) window;
    }

    /** How many requests are in flight. */
    public int inFlight() {
        return inFlight;
    }

    /** A request was sent. */
    public void sent() {
        inFlight++;
        roundWasFull |= inFlight >= (int) window;
    }

    /** A request was answered; {@code took} from its sending to the first sign of its response, in milliseconds. */
    public void answered(double now, double took) {
        inFlight--;
        if (now - halfStartedAt > options.baseLatencyLifetime / 2) {
            // Otherwise a queue that never empties would be taken for the base latency once that has expired (BBR drains
            // for the same reason, Cardwell and others 2016).
            window = Math.max(options.min, window - queued);
            previousBaseLatency = baseLatency;
            baseLatency = Double.POSITIVE_INFINITY;
            halfStartedAt = now;
        }
        baseLatency = Math.min(baseLatency, took);
        roundLatencySum += took;
        roundResponses++;
        if (now - roundStartedAt >= effectiveBaseLatency()) {
            endRound(now);
        }
    }

    /** A request ended without a response that says how long it takes. */
    public void abandoned() {
        inFlight--;
    }

    /** The link stalls: what follows begins with half the window, without doubling. */
    public void stalled() {
        window = Math.max(options.min, window / 2);
        doubling = false;
    }

    private double effectiveBaseLatency() {
        return Math.min(baseLatency, previousBaseLatency);
    }

    private void endRound(double now) {
        // The mean, as in Vegas: the least says nothing where requests are sent and answered in step.
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
