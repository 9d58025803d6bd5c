package kelphollow.decision;

/**
 * Size of the largest request that has arrived so far, in units. Confined to the thread that drives
 * {@link Control}.
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

    /** Size of the largest request, at least that of a mean request; 0 before the first arrival. */
    double largest() {
        return largest;
    }
}
