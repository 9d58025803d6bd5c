package kelphollow.decision;

import java.util.ArrayDeque;

/**
 * Bounds retries by a share of the first attempts within a sliding window. What is at the window's edge
 * counts against the budget: a first attempt is forgotten a tick early, a retry a tick late. Memory: a number
 * for each attempt within the window. Confined to the thread that drives {@link Control}.
 */
final class RetryBudget {
    private final double window;
    private final double free;
    private final double share;
    private final double tick;
    private final ArrayDeque<Double> firstAttempts = new ArrayDeque<>();
    private final ArrayDeque<Double> retries = new ArrayDeque<>();

    /**
     * @param window length of the sliding window in milliseconds; 0: retries are not bounded
     * @param free retries that are allowed beside the share
     * @param share retries that are allowed for each first attempt
     * @param tick granularity of the host's timers in milliseconds
     */
    RetryBudget(double window, double free, double share, double tick) {
        this.window = window;
        this.free = free;
        this.share = share;
        this.tick = tick;
    }

    void addFirstAttempt(double now) {
        add(firstAttempts, now);
    }

    void addRetry(double now) {
        add(retries, now);
    }

    private void add(ArrayDeque<Double> attempts, double now) {
        if (window > 0) {
            attempts.add(now);
            forget(now);
        }
    }

    /** Whether one more retry stays within the budget. */
    boolean allows(double now) {
        if (window <= 0) {
            return true;
        }
        forget(now);
        return retries.size() + 1 <= free + share * firstAttempts.size();
    }

    private void forget(double now) {
        while (!retries.isEmpty() && retries.peek() < now - window - tick) {
            retries.poll();
        }
        while (!firstAttempts.isEmpty() && firstAttempts.peek() <= now - window + tick) {
            firstAttempts.poll();
        }
    }
}
