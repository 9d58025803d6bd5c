package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.EndpointListLease.State;
import org.junit.jupiter.api.Test;

/** Guards against taking a discovery service that has too many callers for one that is down. */
class CrowdedDiscoveryTest {
    private static final double NOTIFIED_AFTER_MS = 6_000;
    private static final double LOCAL_DELAY_MS = 150;
    private static final int INSTANCES = 4;
    /** So long the service lets a call wait before it rejects it. */
    private static final double QUEUED_MS = 2_004;

    /** The times are those of soak seed 621200, in which the service answered other callers meanwhile. */
    @Test void callsThatWereRejectedAfterTheirWaitDoNotRenewTheLease() {
        EndpointListLease lease = EndpointListLease.polled(NOTIFIED_AFTER_MS, LOCAL_DELAY_MS, INSTANCES);
        lease.confirmed(0);
        lease.failed(EndpointPollFailure.WATCH_BROKEN, 0, 2_054);
        lease.failed(EndpointPollFailure.REJECTED, 3_417, QUEUED_MS);

        assertEquals(State.EXPIRED, lease.state(NOTIFIED_AFTER_MS));
    }
}
