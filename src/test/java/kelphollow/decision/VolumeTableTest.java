package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.Map;
import kelphollow.decision.ControlEvent.RequestArrived;
import org.junit.jupiter.api.Test;

/** Creation, token restoration and eviction of volumes. */
class VolumeTableTest {
    private static final double FULL_AFTER_MS = 60_000;
    private final StateHarness harness = new StateHarness();
    private final VolumeTable volumes = harness.state.volumes;

    private Volume of(String name, int hosts) {
        RequestArrived arrival = new RequestArrived("r", "read", "limited", null, harness.now() + 2_000, name, 1, 0, hosts);
        return volumes.of(arrival, ControlHarness.LIMITED);
    }

    @Test void requestsWithTheSameNameShareAVolume() {
        assertSame(of("v", 1), of("v", 1));
        assertNotSame(of("v", 1), of("w", 1));
        assertSame(of(null, 1), of("", 1));
    }

    @Test void theLatestRequestSetsTheNumberOfInstances() {
        Volume volume = of("v", 1);
        assertEquals(1, volume.limiter.instances());

        of("v", 3);
        assertEquals(3, volume.limiter.instances());
        of("v", 0);

        assertEquals(1, volume.limiter.instances(), "at least one");
    }

    @Test void restoredTokensAreAppliedOnce() {
        volumes.restore(Map.of("v", 3.0, "w", 1.0));

        Volume volume = of("v", 1);
        assertEquals(Map.of("v", 3.0), volumes.limitTokens());
        volume.limiter.consume(3);
        of("v", 1);

        assertEquals(Map.of("v", 0.0), volumes.limitTokens());
    }

    @Test void unlimitedVolumesHaveNoTokens() {
        harness.request("r", ControlHarness.READ, "free", 1, 0);

        assertEquals(Map.of(), volumes.limitTokens());
    }

    @Test void aFloodOfNewVolumesEvictsTheLeastRecentlyUsedOnes() {
        harness.advance(FULL_AFTER_MS);                  // so that the limits of new volumes are full
        for (int i = 0; i < VolumeTable.MAX_VOLUMES; i++) {
            of("v" + i, 1);
        }
        Volume first = of("v0", 1);

        assertNotNull(of("new", 1));

        assertEquals(VolumeTable.MAX_VOLUMES, volumes.size());
        assertSame(first, of("v0", 1), "used since v1");
    }

    @Test void aVolumeWhoseLimitIsNotFullIsNotForgottenInAFlood() {
        harness.advance(FULL_AFTER_MS);
        Volume spent = of("spent", 1);
        spent.limiter.consume(1);
        for (int i = 0; i <= VolumeTable.MAX_VOLUMES; i++) {
            of("v" + i, 1);
        }

        assertSame(spent, of("spent", 1));
    }

    @Test void aNewVolumeIsRejectedIfNoneCanBeForgotten() {
        harness.advance(FULL_AFTER_MS);
        for (int i = 0; i < VolumeTable.MAX_VOLUMES; i++) {
            of("v" + i, 1).limiter.consume(1);
        }

        assertNull(of("new", 1));
    }

    @Test void idleVolumesAreEvictedAboveTheThreshold() {
        for (int i = 0; i < VolumeTable.IDLE_EVICTION_THRESHOLD; i++) {
            of("v" + i, 1);
        }
        harness.advance(VolumeTable.IDLE_AFTER_MS);
        of("still kept", 1);
        assertEquals(VolumeTable.IDLE_EVICTION_THRESHOLD + 1, volumes.size());

        harness.advance(1);
        of("another", 1);

        assertEquals(2, volumes.size());
    }
}
