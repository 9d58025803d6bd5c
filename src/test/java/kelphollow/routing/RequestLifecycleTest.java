package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.RequestArrived;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each request gets one final response, and one that the filter rejects never reaches the decision module. */
class RequestLifecycleTest {
    private final RouterHarness harness = new RouterHarness();
    private final RequestRouter router = harness.router;

    @BeforeEach void start() {
        router.updateEndpoints(RouterHarness.healthy("a"), true);
        router.start(() -> {}, false);
    }

    /** Rejects every request with this Retry-After, or admits all if it is empty; records what the module rejects. */
    private static final class Filter implements AdmissionFilter {
        private final OptionalDouble retryAfter;
        private final List<String> rejectedByModule = new ArrayList<>();

        Filter(OptionalDouble retryAfter) {
            this.retryAfter = retryAfter;
        }

        @Override public OptionalDouble retryAfter(RequestArrived arrival) {
            return retryAfter;
        }

        @Override public void rejected(RequestArrived arrival) {
            rejectedByModule.add(arrival.key());
        }
    }

    @Test void aServedRequestIsClosed() {
        harness.submit("read", "free", "k");
        assertEquals(1, router.openRequests());

        harness.sent.get(0).ended(AttemptResult.of(AttemptOutcome.SERVED));

        assertEquals(List.of("k"), harness.served);
        assertEquals(0, router.openRequests());
    }

    @Test void aClientThatHasDisconnectedGetsNoResponse() {
        harness.submit("read", "free", "k");
        Attempt attempt = harness.sent.get(0);

        router.clientDisconnected(attempt.request());
        attempt.ended(AttemptResult.of(AttemptOutcome.SERVED));

        assertEquals(List.of(), harness.served);
        assertEquals(List.of(), harness.rejected);
        assertEquals(0, router.openRequests());
    }

    @Test void aRequestThatTheFilterRejectsReachesNoNodeAndIsNotOpen() {
        Filter filter = new Filter(OptionalDouble.of(0));
        router.setAdmissionFilter(filter);

        harness.submit("read", "free", "k");

        assertEquals(List.of("k"), harness.rejected);
        assertEquals(List.of(), harness.sentTo());
        assertEquals(0, router.openRequests());
        assertEquals(List.of(), filter.rejectedByModule, "the filter is not notified of its own rejections");
    }

    @Test void theFilterIsNotifiedOfWhatTheModuleRejects() {
        Filter filter = new Filter(OptionalDouble.empty());
        router.setAdmissionFilter(filter);

        harness.submit("unknown", "free", "k1");
        harness.submit("read", "free", "k2");

        assertEquals(List.of("k1"), filter.rejectedByModule);
        assertEquals(List.of("a"), harness.sentTo());
    }

    @Test void aRequestBecomesOverdueOnceAndNeverAfterItIsFinished() {
        harness.submit("read", "free", "k1");
        harness.submit("read", "free", "k2");
        Request overdue = harness.sent.get(0).request();
        Request finished = harness.sent.get(1).request();

        router.clientDisconnected(finished);

        assertTrue(overdue.becomesOverdue());
        assertFalse(overdue.becomesOverdue());
        assertFalse(overdue.isFinished(), "it still gets its final response");
        assertFalse(finished.becomesOverdue());
        assertTrue(finished.isFinished());
    }
}
