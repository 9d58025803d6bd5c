package kelphollow.membership;

/**
 * Lifeguard's local health multiplier (LHA-Probe): the slower this instance seems to be itself, the longer it waits for
 * others before it suspects them. The score runs from 0 (healthy) to one less than the limit.
 */
final class LocalHealth {
    private final int limit;
    private int score;

    LocalHealth(int limit) {
        this.limit = limit;
    }

    /** Raises the score, or lowers it by a negative {@code delta}, within its bounds. */
    void add(int delta) {
        score = Math.max(0, Math.min(limit - 1, score + delta));
    }

    int score() {
        return score;
    }

    /** Multiplies a time in milliseconds by the score plus one. */
    double scale(double millis) {
        return millis * (1 + score);
    }
}
