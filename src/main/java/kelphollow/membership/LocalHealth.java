package kelphollow.membership;

/**
 * Lifeguard's local health multiplier: the more an instance seems to be slow itself, the longer it waits for others
 * before it accuses them. From 0 (well) to one less than the most.
 */
final class LocalHealth {
    private final int most;
    private int score;

    LocalHealth(int most) {
        this.most = most;
    }

    /** Worse by so much, or better where it is negative. */
    void add(int delta) {
        score = Math.max(0, Math.min(most - 1, score + delta));
    }

    int score() {
        return score;
    }

    double stretch(double time) {
        return time * (1 + score);
    }
}
