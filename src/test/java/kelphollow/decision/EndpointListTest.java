package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static kelphollow.decision.ControlHarness.healthy;
import static kelphollow.decision.ControlHarness.node;

import java.util.List;
import kelphollow.decision.ControlAction.PollEndpoints;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.EndpointPollFailed;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import org.junit.jupiter.api.Test;

/** Handling of the endpoint list: draining, replaced and removed nodes, and polls. */
class EndpointListTest {
    @Test void noNewRequestIsSentToADrainingNode() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.fill();
        scheduler.request("queued", "read", "free", "v", 1, 0);
        scheduler.endpoints(node("n0", 0, EndpointState.DRAINING, 0), healthy("n1", 1));
        scheduler.end("fill0", AttemptOutcome.SERVED, 20);
        scheduler.request("new", "write", "free", "v", 1, -1);
        assertFalse(scheduler.sent().contains("queued"));
        assertEquals("n1", scheduler.nodeOf("new"));
        scheduler.endpoints(healthy("n1", 1));    // n0 is not in the complete list: removed
        scheduler.advanceTo(scheduler.now + 1900);
        assertFalse(scheduler.sent().contains("queued"));
    }

    @Test void listIsPolledOnceAndAgainAfterAFailureWithBackoff() {
        ControlHarness scheduler = new ControlHarness(true, 50_000);
        double spread = 2 * EndpointPollSchedule.SPREAD_PER_INSTANCE_MS;
        scheduler.advanceTo(scheduler.now + spread);
        assertEquals(1, polls(scheduler));
        scheduler.on(new EndpointPollFailed(EndpointPollFailure.UNREACHABLE));
        assertEquals(1, polls(scheduler));
        scheduler.advanceTo(scheduler.now + 1600);
        assertEquals(2, polls(scheduler));
        scheduler.endpoints(healthy("n0", 0));
        scheduler.advanceTo(scheduler.now + 20_000);
        assertEquals(2, polls(scheduler));
    }

    private static long polls(ControlHarness scheduler) {
        return scheduler.actions.stream().filter(a -> a instanceof PollEndpoints).count();
    }

    /** A draining node may be replaced before the requests queued for it expire. */
    @Test void replacementInTheSameCellServesQueuedRequests() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.endpoints(node("n0", 0, EndpointState.DRAINING, 0), healthy("n1", 1));
        scheduler.request("queued", "read", "free", "v", 1, 0);
        assertFalse(scheduler.sent().contains("queued"));
        scheduler.endpoints(healthy("n9", 0), healthy("n1", 1));
        assertEquals("n9", scheduler.nodeOf("queued"));
    }

    /** Prevents a memory leak when nodes keep returning with new ids. */
    @Test void removedNodeIsDeletedAfterItsLastAttempt() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.request("r", "read", "free", "v", 1, 0);
        scheduler.on(new EndpointsReceived(List.of(node("n0", 0, EndpointState.REMOVED, 0), node(
            "n1", 1, EndpointState.REMOVED, 0)), false, false));
        assertEquals(1, scheduler.control.nodeCount(), "an attempt is in flight at n0");
        scheduler.end("r", AttemptOutcome.SERVED, 20);
        assertEquals(0, scheduler.control.nodeCount());
        scheduler.endpoints(healthy("n2", 0));
        scheduler.endpoints(healthy("n3", 0));
        assertEquals(1, scheduler.control.nodeCount(), "a node that is not in a complete list is removed");
    }
}
