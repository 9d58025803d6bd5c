package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Admission to a node in slow start: two instances share a quota of 6 units per second, which grows with the node's capacity
 * from a quarter to all of it within ten seconds.
 */
class SlowStartQuotaTest {
    private static final double LOW_DRAW = 0;
    private static final double HIGH_DRAW = 0.999;

    private final StateHarness harness = new StateHarness();
    private final SlowStart slowStart = new SlowStart(harness.state.context, harness.state.nodes);

    private PendingRequest request(double units, double draw) {
        return harness.request("r" + harness.state.requests.size(), ControlHarness.READ, "v", null, units, 0, draw);
    }

    @Test void aNodeWarmsUpFromItsNewestStart() {
        assertFalse(slowStart.isWarmingUp(), "the node started long ago");

        assertTrue(slowStart.started(StateHarness.START - 1_000));
        assertTrue(slowStart.isWarmingUp());
        assertFalse(slowStart.started(StateHarness.START - 1_000), "the start is already known");
        harness.advance(9_000);

        assertFalse(slowStart.isWarmingUp());
    }

    @Test void aNodeThatStartedLongAgoIsWarm() {
        assertFalse(slowStart.started(StateHarness.START - 20_000));
        assertFalse(slowStart.isWarmingUp());
    }

    @Test void requestsWithinTheQuotaAreAdmitted() {
        slowStart.started(StateHarness.START);

        assertTrue(slowStart.admits(request(3, HIGH_DRAW), true));
        assertFalse(slowStart.admits(request(3.1, HIGH_DRAW), true));
        slowStart.sent(2);

        assertTrue(slowStart.admits(request(1, HIGH_DRAW), true));
        assertFalse(slowStart.admits(request(2, HIGH_DRAW), true));
    }

    @Test void theQuotaGrowsWithTheRamp() {
        slowStart.started(StateHarness.START);
        harness.advance(5_000);

        double quota = 6 / 0.25 * (0.25 + 0.75 / 2) / 2;

        assertTrue(slowStart.admits(request(quota, HIGH_DRAW), true));
        assertFalse(slowStart.admits(request(quota + 0.01, HIGH_DRAW), true));
    }

    @Test void theBestLatencyOfWarmNodesRaisesTheQuota() {
        harness.serve(harness.node("warm", 1), 1, 50);
        slowStart.started(harness.now());

        double quota = 2 * 1_000 * 2 / 50.0 * 0.25 / 2;

        assertTrue(slowStart.admits(request(quota, HIGH_DRAW), true));
        assertFalse(slowStart.admits(request(quota + 0.01, HIGH_DRAW), true));
    }

    @Test void sentUnitsExpireAfterTheSpan() {
        slowStart.started(StateHarness.START);
        slowStart.sent(3);
        harness.advance(1_000);
        assertFalse(slowStart.admits(request(3, HIGH_DRAW), true), "entries expire one tick late");

        harness.advance(2);

        assertTrue(slowStart.admits(request(3, HIGH_DRAW), true));
    }

    @Test void aQuotaOfAtLeastAMeanRequestDisablesRandomAdmission() {
        slowStart.started(StateHarness.START);

        assertFalse(slowStart.admits(request(4, LOW_DRAW), true));
    }

    @Test void belowAMeanRequestAdmissionIsRandomAndOneRequestAtATime() {
        SchedulerState many = new SchedulerState(sharedBy(14), 7, StateHarness.START);
        SlowStart shared = new SlowStart(many.context, many.nodes);
        shared.started(StateHarness.START);

        assertTrue(shared.admits(request(2, 0.29), true), "0.6 x a quarter of the capacity x overload multiple 2 = 0.3");
        assertFalse(shared.admits(request(2, 0.31), true));
        shared.sent(2);

        assertFalse(shared.admits(request(2, LOW_DRAW), false), "another request is in flight");
        assertTrue(shared.admits(request(2, LOW_DRAW), true), "no request is in flight any more");
        shared.sent(2);
        assertFalse(shared.admits(request(2, LOW_DRAW), true));
    }

    @Test void lateRequestsAreNotAdmittedAtRandom() {
        SchedulerState many = new SchedulerState(sharedBy(14), 7, StateHarness.START);
        SlowStart shared = new SlowStart(many.context, many.nodes);
        shared.started(StateHarness.START);
        PendingRequest late = request(2, LOW_DRAW);
        late.late = true;

        assertFalse(shared.admits(late, true));
        assertEquals(0.0, late.admissionDraw);
    }

    private static ControlSettings sharedBy(int hosts) {
        ControlSettings s = ControlHarness.settings(false, ControlHarness.RULES);
        return new ControlSettings(s.instanceIndex(), hosts, s.zone(), s.tick(), s.maxAttempts(), s.maxOpen(), s.mayCancel(),
            s.endpointsPolled(), s.maxRetryAfter(), s.meanUnits(), s.quotaWeight(), s.excessWeight(), s.classes(), s.plans(),
            s.rules());
    }
}
