package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.RequestClass;
import org.junit.jupiter.api.Test;

/** Changed settings take effect in the module: new classes are served, and fewer attempts are allowed. */
class SettingsChangedTest {
    private static final RequestClass ADDED_CLASS = new RequestClass("fresh", 300, 2000, 1, 0.1, Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL, 0, false, false);
    private final RouterHarness harness = new RouterHarness();
    private final RequestRouter router = harness.router;

    private void start() {
        router.updateEndpoints(RouterHarness.healthy("a", "b"), true);
        router.start(() -> {}, false);
    }

    @Test void anAddedClassIsServed() {
        start();
        harness.submit("fresh", "free", "k1");
        assertTrue(harness.sent.isEmpty(), "unknown before the change");

        router.changeSettings(List.of(RouterHarness.READ, ADDED_CLASS), 3);
        harness.submit("fresh", "free", "k2");

        assertEquals(1, harness.sent.size());
    }

    @Test void fewerAttemptsApplyAtOnce() {
        start();

        router.changeSettings(List.of(RouterHarness.READ), 1);
        harness.submit("read", "free", "k1");
        assertEquals(1, harness.sent.size());
        harness.sent.get(0).ended(AttemptResult.of(AttemptOutcome.ERROR));
        harness.advance(200);

        assertEquals(1, harness.sent.size(), "one attempt is allowed");
        assertEquals(List.of("k1"), harness.rejected);
    }

    @Test void aRequestIsRetriedWithinTheAllowedAttempts() {
        start();

        harness.submit("read", "free", "k1");
        harness.sent.get(0).ended(AttemptResult.of(AttemptOutcome.ERROR));
        harness.advance(200);

        assertEquals(2, harness.sent.size(), "three attempts are allowed");
        assertTrue(harness.rejected.isEmpty());
    }
}
