package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.RequestClass;
import org.junit.jupiter.api.Test;

/** New settings in the module: new classes are served, fewer attempts bind, requests under way keep their class. */
class SettingsChangedTest {
    private final RouterHarness h = new RouterHarness();
    private final RequestRouter router = h.router;

    private void start() {
        router.learn(List.of(RouterHarness.node("a", EndpointState.HEALTHY), RouterHarness.node("b", EndpointState.HEALTHY)),
            true, false);
        router.start(() -> {}, false);
    }

    @Test void aClassThatAppearsIsServed() {
        start();
        h.ask("fresh", "free", "k1");
        assertTrue(h.sent.isEmpty(), "unknown before");
        router.retune(List.of(RouterHarness.READ, new RequestClass("fresh", 300, 2000, 1, 0.1, Idempotency.IDEMPOTENT,
            DeduplicationScope.ALL, 0,
            false, false)), 3);
        h.ask("fresh", "free", "k2");
        assertEquals(1, h.sent.size());
    }

    @Test void fewerAttemptsBindAtOnce() {
        start();
        router.retune(List.of(RouterHarness.READ), 1);
        h.ask("read", "free", "k1");
        assertEquals(1, h.sent.size());
        h.sent.get(0).ended(AttemptResult.of(AttemptOutcome.ERROR));
        h.pass(200);
        assertEquals(1, h.sent.size(), "one attempt is all it may have");
        assertEquals(List.of("k1"), h.rejected);
    }

    @Test void withTheAttemptsItHadARequestIsTriedAgain() {
        start();
        h.ask("read", "free", "k1");
        h.sent.get(0).ended(AttemptResult.of(AttemptOutcome.ERROR));
        h.pass(200);
        assertEquals(2, h.sent.size(), "the settings allow three");
        assertTrue(h.rejected.isEmpty());
    }
}
