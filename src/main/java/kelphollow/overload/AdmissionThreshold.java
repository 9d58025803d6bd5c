package kelphollow.overload;

/**
 * What is shed at one shard: of the requests with a priority weight below {@code weight}, a fraction {@code fraction} of
 * {@code referenceRate} requests a second is admitted. That is a rate, so that nothing is shed any more once fewer requests
 * come, and no more are admitted if still more come. Times are in milliseconds.
 *
 * @param loweredAt when the fraction was lowered last
 * @param reportedAt when an overload report last stood
 */
public record AdmissionThreshold(double weight, double fraction, double referenceRate, double loweredAt, double reportedAt) {
    AdmissionThreshold withFraction(double admitted) {
        return new AdmissionThreshold(weight, admitted, referenceRate, loweredAt, reportedAt);
    }

    /** The same fraction for the weight of a new overload report. */
    AdmissionThreshold reported(double now, double reportedWeight) {
        return new AdmissionThreshold(reportedWeight, fraction, referenceRate, loweredAt, now);
    }

    /** The fraction that is admitted of so many requests a second. */
    double admittedFraction(double rate) {
        return rate <= 0 ? 1 : Math.min(1, fraction * referenceRate / rate);
    }
}
