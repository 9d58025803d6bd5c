package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kelphollow.decision.ControlSettings.Plan;
import org.junit.jupiter.api.Test;

/** Arrival curve and reserve of a volume whose plan has 10 units per second, 5 of them reserved. */
class VolumeTest {
    private final StateHarness harness = new StateHarness();

    private Volume volume(Plan plan, int instances) {
        return new Volume(plan, instances, harness.state.context.startedAt(), harness.state.context, harness.state.sizes);
    }

    @Test void instancesShareTheCurveEvenly() {
        Volume volume = volume(ControlHarness.FREE, 2);

        assertEquals(5, volume.rho());
        assertEquals(5, volume.sigma());
        assertEquals(5, volume.numTokens, "the curve starts with all tokens");
        assertEquals(harness.now(), volume.maxS);
    }

    @Test void theDepthOfTheCurveIsAtLeastTheLargestRequest() {
        Volume volume = volume(ControlHarness.FREE, 2);
        harness.state.sizes.arrived(7);

        assertEquals(7, volume.sigma());
        assertEquals(5, volume.rho());
    }

    @Test void aRequestFarBeyondTheCurveIsExcessOnceTheReserveIsUsedUp() {
        PendingRequest request = harness.request("r", ControlHarness.READ, "v", 5, 0);
        request.startTag = request.arrivedAt + 1_000.1;
        assertFalse(request.volume.isExcess(request), "the reserve is not used up");

        request.volume.consumeReserve(5);
        assertTrue(request.volume.isExcess(request));
        request.startTag = request.arrivedAt + 1_000;

        assertFalse(request.volume.isExcess(request), "within the quota");
    }

    @Test void theReserveIsOverdrawnByAtMostOneRequestAndRefillsAtItsRate() {
        PendingRequest request = harness.request("r", ControlHarness.READ, "v", 5, 0);
        request.startTag = request.arrivedAt + 60_000;
        for (int i = 0; i < 10; i++) {
            request.volume.consumeReserve(5);
        }

        harness.advance(1_000);
        assertTrue(request.volume.isExcess(request), "the refill of five units only covers the overdraft");
        harness.advance(1);

        assertFalse(request.volume.isExcess(request));
    }

    @Test void aPlanWithoutReserveGivesNoReserve() {
        Volume volume = volume(new Plan("p", 10, 0, 1, 1, 0, 0, 0), 1);
        PendingRequest request = harness.request("r", ControlHarness.READ, "v", 1, 0);
        request.startTag = request.arrivedAt + 2_000;

        assertTrue(volume.isExcess(request));
    }

    @Test void theSheddingShareFallsFromReserveToQuotaToExcess() {
        PendingRequest request = harness.request("r", ControlHarness.READ, "v", 5, 0);
        request.startTag = request.arrivedAt;

        assertEquals(1, request.volume.sheddingShare(request, 1));
        assertEquals(0.4, request.volume.sheddingShare(request, 1), "the pass has used up the reserve");
        request.startTag = request.arrivedAt + 1_001;
        assertEquals(0.05, request.volume.sheddingShare(request, 1));
        assertEquals(1, request.volume.sheddingShare(request, 2), "the next pass starts with the whole reserve again");
    }
}
