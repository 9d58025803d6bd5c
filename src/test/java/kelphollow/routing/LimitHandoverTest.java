package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import kelphollow.decision.ControlSettings.Plan;
import org.junit.jupiter.api.Test;

/** A limit handed over by the previous process continues from the tokens handed over, without filling since the start. */
class LimitHandoverTest {
    /** 10 units per second, burst of 10. */
    private static final Plan CAPPED = new Plan("capped", 10, 5, 1, 1, 10, 10, 0);

    /** Returns how many of ten requests are sent if the limit is handed over {@code waited} milliseconds after the start. */
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

    @Test void anEmptyLimitStaysEmptyHoweverLateItIsHandedOver() {
        assertEquals(0, sentAfter(Map.of("v", 0.0), 3_000));
    }

    @Test void tokensThatWereHandedOverAreSpentOnce() {
        assertEquals(2, sentAfter(Map.of("v", 2.0), 3_000));
    }

    @Test void withoutAHandoverTheLimitFillsFromTheStart() {
        assertEquals(3, sentAfter(Map.of(), 3_000), "bounded by the node's concurrency window");
    }
}
