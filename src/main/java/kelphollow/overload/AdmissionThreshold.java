package kelphollow.overload;

/**
 * Admission limit of one shard: of the requests with a priority weight below {@code weight}, at most {@code fraction} times
 * {@code referenceRate} requests per second are admitted. The limit is a rate, so shedding stops when demand falls, and a
 * further increase in demand does not increase admissions. Times are in milliseconds.
 *
 * @param loweredAt when the fraction was last lowered
 * @param reportedAt when an overload report of at least this weight was last applied
 */
public record AdmissionThreshold(double weight, double fraction, double referenceRate, double loweredAt, double reportedAt) {
    AdmissionThreshold withFraction(double newFraction) {
        return new AdmissionThreshold(weight, newFraction, referenceRate, loweredAt, reportedAt);
    }

    /** Returns the same limit for the weight of a newly applied overload report. */
    AdmissionThreshold withReport(double now, double reportedWeight) {
        return new AdmissionThreshold(reportedWeight, fraction, referenceRate, loweredAt, now);
    }

    /** Returns the fraction to admit when {@code rate} requests per second arrive. */
    double admittedFraction(double rate) {
        return rate <= 0 ? 1 : Math.min(1, fraction * referenceRate / rate);
    }
}
