package kelphollow.site;

/**
 * How many requests may be out on a link. Follows latency as TCP Vegas does (Brakmo and Peterson 1994): what is out
 * beyond what the best latency would need is waiting somewhere; with less than {@code alpha} of it the window grows by
 * one a round, with more than {@code beta} it shrinks by one. It doubles round by round at first, and falls to half when
 * the link stalls. The best latency is forgotten after a while, since the far site's work changes. One event loop.
 */
public final class LinkWindow {
    /** Counts of requests; {@code memory} is for how long a best latency holds, in milliseconds. */
    public record Options(int least, int start, int most, double alpha, double beta, double memory) {
        public static final Options USUAL = new Options(4, 32, 2_048, 4, 12, 30_000);
    }

    private final Options options;
    private double window;
    /** How many of those that were out in the last round waited somewhere. */
    private double waiting;
    private int out;
    private boolean doubling = true;
    private double roundFrom = Double.NEGATIVE_INFINITY, roundSum;
    private int roundCount;
    private boolean roundWasFull;
    /** The least latency of this stretch of the memory and of the one before it. */
    private double best = Double.POSITIVE_INFINITY, bestBefore = Double.POSITIVE_INFINITY, stretchFrom;

    public LinkWindow(Options options, double now) {
        this.options = options;
        this.window = options.start;
        this.stretchFrom = now;
    }

    /** Whether one more request may go out. */
    public boolean hasRoom() {
        return out < (int) window;
    }

    public int size() {
        return (int) window;
    }

    public int out() {
        return out;
    }

    public void sent() {
        out++;
        roundWasFull |= out >= (int) window;
    }

    /** A request was answered; {@code took} from its sending to the first sign of its answer, in milliseconds. */
    public void answered(double now, double took) {
        out--;
        if (now - stretchFrom > options.memory / 2) {
            // Else a queue that never empties would be taken for the way itself once the best is forgotten (BBR drains
            // for the same reason, Cardwell and others 2016).
            window = Math.max(options.least, window - waiting);
            bestBefore = best;
            best = Double.POSITIVE_INFINITY;
            stretchFrom = now;
        }
        best = Math.min(best, took);
        roundSum += took;
        roundCount++;
        if (now - roundFrom >= best()) {
            round(now);
        }
    }

    /** A request ended without an answer that says how long it takes. */
    public void ended() {
        out--;
    }

    /** The link stands still: what comes after it begins carefully. */
    public void stalled() {
        window = Math.max(options.least, window / 2);
        doubling = false;
    }

    private double best() {
        return Math.min(best, bestBefore);
    }

    private void round(double now) {
        // The mean, as Vegas has it: the least says nothing where requests go out and come back in step.
        double mean = roundSum / roundCount;
        waiting = mean <= 0 ? 0 : window * (1 - best() / mean);
        if (waiting > options.beta) {
            window -= 1;
            doubling = false;
        } else if (waiting < options.alpha && roundWasFull) {
            window = doubling ? window * 2 : window + 1;
        } else if (waiting >= options.alpha) {
            doubling = false;
        }
        window = Math.max(options.least, Math.min(options.most, window));
        roundFrom = now;
        roundSum = 0;
        roundCount = 0;
        roundWasFull = out >= (int) window;
    }
}
