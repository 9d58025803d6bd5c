package kelphollow.routing;

import java.util.OptionalDouble;
import kelphollow.decision.ControlEvent.RequestArrived;

/**
 * Admission control ahead of the decision module: it may reject a request at once, and is notified of those that the
 * module rejects. Confined to the router's event loop.
 */
public interface AdmissionFilter {
    /** Admits every request. */
    AdmissionFilter ADMIT_ALL = new AdmissionFilter() {
        @Override public OptionalDouble retryAfter(RequestArrived arrival) {
            return OptionalDouble.empty();
        }

        @Override public void rejected(RequestArrived arrival) {}
    };

    /**
     * Decides on a request before the decision module is notified of it.
     *
     * @return empty if the request is admitted; else it is rejected, with a Retry-After of so many milliseconds (0: no
     *     advice)
     */
    OptionalDouble retryAfter(RequestArrived arrival);

    /** The decision module has rejected an admitted request of which no attempt was sent. */
    void rejected(RequestArrived arrival);
}
