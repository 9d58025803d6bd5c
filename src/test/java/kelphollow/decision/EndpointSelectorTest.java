package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import kelphollow.decision.ControlEvent.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Choice of the node for a new object. */
class EndpointSelectorTest {
    private final StateHarness harness = new StateHarness();
    private final EndpointSelector selector = new EndpointSelector(harness.state);
    private final Node first = harness.node("n0", 0);
    private final Node second = harness.node("n1", 1);
    private final PendingRequest object = harness.request("object", ControlHarness.WRITE, "v", 2, -1);

    private PendingRequest request(String id, int cell) {
        return harness.request(id, ControlHarness.READ, "v", 2, cell);
    }

    @Test void firstOfEqualNodesIsChosen() {
        assertSame(first, selector.bestFor(object));
    }

    @Test void attemptsInFlightAndQueuedRequestsCountAsAhead() {
        harness.send(request("inflight", 0), first);
        assertSame(second, selector.bestFor(object));

        harness.queue(request("queued0", 1));
        harness.queue(request("queued1", 1));

        assertSame(first, selector.bestFor(object));
    }

    @Test void fasterNodeIsChosen() {
        harness.serve(first, 1, 90);
        harness.serve(second, 1, 30);

        assertSame(second, selector.bestFor(object));
    }

    @Test void faultyNodesAndNodesInSlowStartAreNotChosen() {
        harness.end(harness.send(request("error", 0), first), AttemptOutcome.ERROR);
        assertSame(second, selector.bestFor(object));

        harness.end(harness.send(request("refused", 1), second), AttemptOutcome.CONNECT_FAILED);
        harness.node("cold", 2, harness.now());

        assertNull(selector.bestFor(object));
    }
}
