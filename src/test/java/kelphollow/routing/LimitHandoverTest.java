package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlEvent.EndpointState;
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

    /** Returns a router with one node, whose limit holds this many tokens. */
    private static RouterHarness holding(double tokens) {
        RouterHarness harness = new RouterHarness(CAPPED);
        harness.router.updateEndpoints(RouterHarness.healthy("n"), true);
        harness.router.start(() -> {}, false);
        harness.router.restoreLimits(Map.of("v", tokens));
        return harness;
    }

    @Test void theOldProcessSpendsNothingThatItHasHandedOver() {
        RouterHarness old = holding(2.5);

        Map<String, Double> handedOver = old.router.handOverLimits();
        old.now += 3_000;
        old.submit("read", "capped", "k");

        assertEquals(Map.of("v", 2.5), handedOver);
        assertEquals(0, old.sent.size());
        assertEquals(List.of("k"), old.rejected, "at once, so that the client can turn to the next process");
    }

    @Test void queuedRequestsKeepTheTokensThatThereAre() {
        RouterHarness old = holding(4.5);
        old.router.updateEndpoints(List.of(RouterHarness.node("n", EndpointState.DRAINING)), true);
        for (int i = 0; i < 6; i++) {
            old.submit("read", "capped", "k" + i);
        }

        Map<String, Double> handedOver = old.router.handOverLimits();

        assertEquals(Map.of("v", 0.5), handedOver);
        assertEquals(List.of("k4", "k5"), old.rejected);
        old.router.updateEndpoints(RouterHarness.healthy("n", "m"), true);
        old.advance(10, 50);
        old.now += 3_000;
        assertEquals(4, old.sent.size() + old.rejected.size() - 2,
            "the four that were kept are sent or answered, none twice");
        assertEquals(old.sent.size(), old.sent.stream().filter(attempt -> attempt.number() == 0).count());
    }

    @Test void aVolumeFirstUsedAfterTheHandoverHasNoTokens() {
        RouterHarness old = new RouterHarness(CAPPED);
        old.router.updateEndpoints(RouterHarness.healthy("n"), true);
        old.router.start(() -> {}, false);
        old.now += 3_000;

        assertEquals(Map.of(), old.router.handOverLimits());
        old.submit("read", "capped", "k");

        assertEquals(0, old.sent.size());
    }

    @Test void tokensTakenOverForAVolumeWithoutARequestAreHandedOn() {
        assertEquals(Map.of("v", -3.0), holding(-3.0).router.handOverLimits());
    }

    @Test void withoutAHandoverTheLimitIsRefilledFromTheEndOfTheOldProcess() {
        RouterHarness harness = new RouterHarness(CAPPED);
        harness.router.updateEndpoints(RouterHarness.healthy("n"), true);
        harness.router.start(() -> {}, false);
        harness.now += 3_000;
        harness.router.limitsNotHandedOver();

        harness.submit("read", "capped", "k");

        assertEquals(0, harness.sent.size());
    }
}
