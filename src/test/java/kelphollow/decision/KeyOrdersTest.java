package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kelphollow.decision.ControlEvent.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Requests with the same key in an ordered class; the quiet period after an unknown outcome is 200 ms. */
class KeyOrdersTest {
    private final StateHarness harness = new StateHarness();
    private final KeyOrders orders = harness.state.keyOrders;
    private final PendingRequest first = arrived("first", "k");
    private final PendingRequest second = arrived("second", "k");

    private PendingRequest arrived(String id, String key) {
        PendingRequest request = harness.request(id, ControlHarness.ORDERED, "v", key, 1, 0, 0);
        orders.arrived(request, 1);
        return request;
    }

    @Test void firstRequestOfEachKeyMayBeSent() {
        PendingRequest other = arrived("other", "l");

        assertTrue(orders.mayBeSent(first));
        assertFalse(orders.mayBeSent(second));
        assertTrue(orders.mayBeSent(other));
    }

    @Test void requestsWithoutOrderOrKeyNeverWait() {
        PendingRequest keyed = harness.request("keyed", ControlHarness.KEYED, "v", "k", 1, 0, 0);
        PendingRequest keyless = harness.request("keyless", ControlHarness.ORDERED, "v", null, 1, 0, 0);
        orders.arrived(keyless, 1);

        assertTrue(orders.mayBeSent(keyed));
        assertTrue(orders.mayBeSent(keyless));
    }

    @Test void nextRequestWaitsForTheAttemptInFlight() {
        orders.sent(first);
        orders.closed(first);
        assertFalse(orders.mayBeSent(second), "its client has disconnected, but the attempt is still in flight");

        orders.attemptEnded(first, AttemptOutcome.SERVED);

        assertTrue(orders.mayBeSent(second));
    }

    @Test void unknownOutcomeStartsAQuietPeriod() {
        for (AttemptOutcome outcome : new AttemptOutcome[] {AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET,
            AttemptOutcome.CANCELLED}) {
            orders.sent(first);
            orders.attemptEnded(first, outcome);

            harness.advance(200);
            assertFalse(orders.mayBeSent(first), outcome + ": the quiet period includes one more tick");
            harness.advance(1);
            assertTrue(orders.mayBeSent(first), outcome.toString());
        }
    }

    @Test void knownOutcomeUnblocksTheKeyAtOnce() {
        orders.sent(first);
        orders.attemptEnded(first, AttemptOutcome.AT_CAPACITY);

        assertTrue(orders.mayBeSent(first));
    }

    @Test void keyWithoutRequestsIsRemovedAndMayBeUsedAgain() {
        orders.closed(first);
        orders.closed(second);
        orders.closed(second);

        assertTrue(orders.mayBeSent(arrived("third", "k")));
    }
}
