package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import kelphollow.decision.ControlSettings.Plan;
import org.junit.jupiter.api.Test;

/** A limit handed over by the process before goes on from its tokens as of then, not from this process's start. */
class LimitHandoverTest {
    /** 10 units a second, 10 at once. */
    private static final Plan CAPPED = new Plan("capped", 10, 5, 1, 1, 10, 10, 0);

    /** How many of ten requests are sent when a limit is handed over so many milliseconds after the start. */
    private static int sentAfter(Map<String, Double> handedOver, double waited) {
        RouterHarness harness = new RouterHarness(CAPPED);
        harness.router.updateEndpoints(RouterHarness.healthy("n"), true);
        harness.router.start(() -> {}, false);
        harness.now += waited;
        harness.router.restoreLimits(handedOver);
        for (int i = 0; i < 10; i++) {
            harness.submit("read", "capped", "k" + i);
        }
        return harness.sent.size();
    }

    @Test void anEmptyLimitStaysEmptyWhateverTimePassedBefore() {
        assertEquals(0, sentAfter(Map.of("v", 0.0), 3_000));
    }

    @Test void tokensThatWereHandedOverAreSpentOnce() {
        assertEquals(2, sentAfter(Map.of("v", 2.0), 3_000));
    }

    @Test void withoutAHandoverTheLimitFillsFromTheStart() {
        assertEquals(3, sentAfter(Map.of(), 3_000), "as far as the node's concurrency window lets");
    }
}
