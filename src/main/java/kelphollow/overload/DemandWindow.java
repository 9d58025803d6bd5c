package kelphollow.overload;

/**
 * Counts the requests of one shard and priority weight in the current and the previous window. A window is long enough to
 * average out random variation and short enough to react to a surge. Not thread-safe.
 */
final class DemandWindow {
    static final double WINDOW_MS = 500;
    // An overload is reported if there are at least this many rejections, and at least this fraction of the admissions: a
    // single late request is not an overload.
    private static final int MIN_REJECTIONS = 2;
    private static final double MIN_REJECTED_FRACTION = 0.05;

    private double startedAt;
    private int arrived;
    private int admitted;
    private int rejected;
    private int arrivedBefore;
    private int admittedBefore;
    private int rejectedBefore;

    /** Starts a new window if the current one has ended. */
    void advance(double now) {
        if (now - startedAt >= WINDOW_MS) {
            boolean adjacent = now - startedAt < 2 * WINDOW_MS;
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

    /** Returns arrivals per second over both windows. */
    double arrivalRate(double now) {
        return (arrived + arrivedBefore) / (now - startedAt + WINDOW_MS) * 1_000;
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
