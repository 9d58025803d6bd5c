package kelphollow.routing;

import kelphollow.decision.ControlEvent.RequestArrived;

/** Looks at requests before the module does, and hears which of them found no room. Lives on the core's loop. */
public interface AdmissionFilter {
    /** No request is held back. */
    AdmissionFilter ALL = new AdmissionFilter() {
        @Override public double advice(RequestArrived arrival) {
            return -1;
        }

        @Override public void rejected(RequestArrived arrival) {}
    };

    /** Below 0: the request goes on to the module. Else it is refused, with the advice to come again after so many milliseconds. */
    double advice(RequestArrived arrival);

    /** The module refused a request that no node had taken. */
    void rejected(RequestArrived arrival);
}
