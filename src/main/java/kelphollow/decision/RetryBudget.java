package kelphollow.decision;

import java.util.ArrayDeque;

/**
 * Further attempts against first ones within a sliding span; plain data. What is at the span's edge counts
 * against the budget: a first one is forgotten a tick early, a further one a tick late. Memory: a number for
 * each within the span.
 */
final class RetryBudget {
    private final double span, free, share, tick;
    private final ArrayDeque<Double> first = new ArrayDeque<>(), further = new ArrayDeque<>();

    /** {@code free} further ones beside {@code share} of the first; a {@code span} of 0: any number. */
    RetryBudget(double span, double free, double share, double tick) {
        this.span = span;
        this.free = free;
        this.share = share;
        this.tick = tick;
    }

    void add(double now, boolean isFirst) {
        if (span > 0) {
            (isFirst ? first : further).add(now);
            forget(now);
        }
    }

    boolean allows(double now) {
        if (span <= 0) return true;
        forget(now);
        return further.size() + 1 <= free + share * first.size();
    }

    private void forget(double now) {
        while (!further.isEmpty() && further.peek() < now - span - tick) {
            further.poll();
        }
        while (!first.isEmpty() && first.peek() <= now - span + tick) {
            first.poll();
        }
    }
}
