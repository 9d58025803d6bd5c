package kelphollow.routing;

import java.util.OptionalDouble;
import kelphollow.decision.ControlEvent.RequestArrived;

/**
 * Admission control ahead of the decision module: it may reject a request at once, and is notified of the requests that
 * the module rejects. Confined to the router's event loop.
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
     * @return empty if the request is admitted; else the request is rejected, and this is its Retry-After in milliseconds
     *     (0: no advice)
     */
    OptionalDouble retryAfter(RequestArrived arrival);

    /** The decision module has rejected an admitted request before sending any attempt of it. */
    void rejected(RequestArrived arrival);
}
