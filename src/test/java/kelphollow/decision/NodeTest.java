package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import org.junit.jupiter.api.Test;

/** Conditions under which, and number in which, requests may be sent to a node. */
class NodeTest {
    private final StateHarness harness = new StateHarness();
    private final Node node = harness.node("n0", 0);

    private InFlightAttempt send(String id) {
        return harness.send(harness.request(id, ControlHarness.READ, "v", 2, 0), node);
    }

    private void list(EndpointState state) {
        node.updateEndpoint(new Endpoint("n0", "a", 0, state, 0));
    }

    @Test void requestsAreTakenUpToTheWindow() {
        for (int i = 0; i < 3; i++) {
            assertTrue(node.hasCapacity(), i + " in flight");
            send("r" + i);
        }

        assertFalse(node.hasCapacity());
        node.release(InFlightAttempt.key("r1", 0));
        assertTrue(node.hasCapacity());
        assertEquals(2, node.inFlight());
    }

    @Test void theAttemptThatFillsTheWindowIsFlagged() {
        assertEquals(List.of(false, false, true), List.of(send("a").filledWindow, send("b").filledWindow,
            send("c").filledWindow));
    }

    @Test void noRequestIsTakenWhileDraining() {
        list(EndpointState.DRAINING);
        assertFalse(node.isEligible());
        assertFalse(node.hasCapacity());
        assertFalse(node.isGone());

        list(EndpointState.HEALTHY);

        assertTrue(node.hasCapacity());
    }

    @Test void noRequestIsTakenAfterTheLeaseExpires() {
        harness.state.nodes.renewLease(harness.now() + 10);
        assertTrue(node.hasCapacity());

        harness.advance(10);

        assertFalse(node.hasCapacity());
    }

    @Test void aRemovedNodeIsGoneAfterItsLastAttempt() {
        send("r");
        node.markRemoved();
        assertFalse(node.isGone());

        node.release(InFlightAttempt.key("r", 0));

        assertTrue(node.isGone());
    }

    @Test void anUnresponsiveNodeTakesOneRequestAtAProbeRate() {
        InFlightAttempt failed = send("failed");
        harness.end(failed, AttemptOutcome.CONNECT_FAILED);
        assertFalse(node.hasCapacity());
        assertFalse(node.acceptsNewObjects());
        harness.advance(80);
        assertTrue(node.hasCapacity());

        send("probe");

        harness.advance(999);
        assertFalse(node.hasCapacity());
    }

    @Test void aFailureHalvesTheWindowButALossOrAnErrorDoesNot() {
        harness.end(send("error"), AttemptOutcome.ERROR);
        harness.end(send("lost"), AttemptOutcome.TIMED_OUT);
        harness.end(send("cancelled"), AttemptOutcome.CANCELLED);
        harness.end(send("unsent"), AttemptOutcome.NOT_SENT);
        assertEquals(3, node.window.size());

        harness.end(send("refused"), AttemptOutcome.CONNECT_FAILED);

        assertEquals(1.5, node.window.size());
    }

    @Test void aLossIsIgnoredIfALaterAttemptWasServed() {
        InFlightAttempt lost = send("lost");
        harness.advance(1);
        harness.end(send("served"), AttemptOutcome.SERVED);

        harness.end(lost, AttemptOutcome.TIMED_OUT);
        harness.end(send("second"), AttemptOutcome.RESET);

        assertEquals(NodeHealth.State.RESPONSIVE, node.health.state(), "only the second loss counts");
    }

    @Test void aNodeIsIdleAfterTwelveLatenciesWithoutASend() {
        harness.serve(node, 1, 50);
        harness.advance(500);
        assertFalse(node.isIdle(), "only eleven latencies after the send");
        harness.advance(300);

        assertTrue(node.isIdle());
        send("r");
        assertFalse(node.isIdle());
    }

    @Test void excessYieldsNearTheObjectiveAndAllRequestsYieldPastIt() {
        PendingRequest calm = harness.request("calm", ControlHarness.READ, "v", 5, 0);
        PendingRequest excess = harness.request("excess", ControlHarness.READ, "w", 5, 0);
        excess.startTag = excess.arrivedAt + 2_000;
        excess.volume.consumeReserve(5);
        harness.serve(node, 1, 130);
        send("waiting");
        harness.advance(130);
        excess.startTag = harness.now() + 60_000;
        excess.volume.consumeReserve(50);

        assertTrue(node.isUnderPressure(excess));
        assertFalse(node.isUnderPressure(calm));
        harness.advance(180);

        assertTrue(node.isUnderPressure(calm));
    }
}
