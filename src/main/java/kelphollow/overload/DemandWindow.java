package kelphollow.overload;

/**
 * Counts the requests of one shard and priority weight over the current window and the one before. Long against chance,
 * short against a surge.
 */
final class DemandWindow {
    /** Length of a window, in milliseconds. */
    static final double WINDOW = 500;
    // An overload report needs so many rejections, and this fraction of what was admitted: one late request is no overload.
    private static final int MIN_REJECTIONS = 2;
    private static final double MIN_REJECTED_FRACTION = 0.05;

    private double startedAt;
    private int arrived;
    private int admitted;
    private int rejected;
    private int arrivedBefore;
    private int admittedBefore;
    private int rejectedBefore;

    /** Begins a new window if the current one is over. */
    void advance(double now) {
        if (now - startedAt >= WINDOW) {
            boolean adjacent = now - startedAt < 2 * WINDOW;
            arrivedBefore = adjacent ? arrived : 0;
            admittedBefore = adjacent ? admitted : 0;
            rejectedBefore = adjacent ? rejected : 0;
            arrived = 0;
            admitted = 0;
            rejected = 0;
            startedAt = now;
        }
    }

    void countArrival() {
        arrived++;
    }

    void countAdmission() {
        admitted++;
    }

    void countRejection() {
        rejected++;
    }

    /** Arrivals a second. */
    double arrivalRate(double now) {
        return (arrived + arrivedBefore) / (now - startedAt + WINDOW) * 1_000;
    }

    boolean isOverloaded() {
        int allAdmitted = admitted + admittedBefore;
        int allRejected = rejected + rejectedBefore;
        return allRejected >= MIN_REJECTIONS && allRejected >= MIN_REJECTED_FRACTION * allAdmitted;
    }

    boolean isEmpty() {
        return arrived + rejected + arrivedBefore + rejectedBefore == 0;
    }
}
