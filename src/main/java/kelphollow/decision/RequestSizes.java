package kelphollow.decision;

/**
 * The largest request that has arrived so far, in units. Confined to the thread that drives {@link Control}.
 */
final class RequestSizes {
    private final double meanUnits;
    private double largest;

    RequestSizes(double meanUnits) {
        this.meanUnits = meanUnits;
    }

    void arrived(double units) {
        largest = Math.max(Math.max(largest, meanUnits), units);
    }

    /** At least a mean request once one has arrived, 0 before. */
    double largest() {
        return largest;
    }
}
