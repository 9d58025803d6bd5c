package kelphollow.decision;

import java.util.ArrayDeque;

/**
 * Limits retries to a share of the first attempts within a sliding window. At the edge of the window the
 * budget is strict: a first attempt expires one tick early, a retry one tick late. Memory: one number per
 * attempt within the window. Confined to the thread that drives {@link Control}.
 */
final class RetryBudget {
    private final double window;
    private final double free;
    private final double share;
    private final double tick;
    private final ArrayDeque<Double> firstAttempts = new ArrayDeque<>();
    private final ArrayDeque<Double> retries = new ArrayDeque<>();

    /**
     * @param window length of the sliding window in milliseconds; 0: retries are not limited
     * @param free retries allowed in addition to the share
     * @param share retries allowed per first attempt
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
            removeExpired(now);
        }
    }

    /** Whether the budget allows one more retry. */
    boolean allows(double now) {
        if (window <= 0) {
            return true;
        }
        removeExpired(now);
        return retries.size() + 1 <= free + share * firstAttempts.size();
    }

    private void removeExpired(double now) {
        while (!retries.isEmpty() && retries.peek() < now - window - tick) {
            retries.poll();
        }
        while (!firstAttempts.isEmpty() && firstAttempts.peek() <= now - window + tick) {
            firstAttempts.poll();
        }
    }
}
