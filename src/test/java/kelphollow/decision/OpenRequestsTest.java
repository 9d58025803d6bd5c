package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Lookup of open requests by id, and of attempts that outlive their requests. */
class OpenRequestsTest {
    private final StateHarness harness = new StateHarness();
    private final OpenRequests requests = harness.state.requests;
    private final Node node = harness.node("n0", 0);

    @Test void anAttemptOutlivesItsRequest() {
        PendingRequest request = harness.request("r", ControlHarness.READ, "v", 1, 0);
        InFlightAttempt attempt = harness.send(request, node);

        requests.remove(request);

        assertFalse(requests.contains("r"));
        assertSame(attempt, requests.attempt("r#0"));
        assertSame(attempt, requests.removeAttempt("r#0"));
        assertNull(requests.attempt("r#0"));
    }

    @Test void aReusedIdIsAnotherRequest() {
        PendingRequest first = harness.request("r", ControlHarness.READ, "v", 1, 0);
        requests.remove(first);
        PendingRequest second = harness.request("r", ControlHarness.READ, "v", 1, 0);

        assertFalse(requests.isOpen(first));
        assertTrue(requests.isOpen(second));
        assertSame(second, requests.get("r"));
        assertEquals(1, requests.size());
        assertTrue(first.sequence < second.sequence);
    }
}
