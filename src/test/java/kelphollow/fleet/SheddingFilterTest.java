package kelphollow.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.ControlSettings.Rules;
import kelphollow.digest.Digest;
import kelphollow.routing.Ticker;
import org.junit.jupiter.api.Test;

/** Which refusals an instance tells the others of. */
class SheddingFilterTest {
    private static Map<String, Map<String, Double>> told(String plan, boolean again) {
        ControlSettings settings = new ControlSettings(0, 2, "a", 1, 4, 10_000, true, false, 1_000, 2, 0.4, 0.05,
            List.of(new RequestClass("read", 300, 2_000, 2, 0.1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false,
                false)),
            List.of(new Plan("free", 10, 0, 1, 3, 0, 0, 0), new Plan("limited", 10, 0, 1, 3, 20, 24, 6)),
            new Rules(250, 0.25, 10_000, 2, 1_000, 6, 200, 3, 0.1, 5_000, 10_000));
        SheddingFilter shedding = new SheddingFilter(settings, new Ticker() {
            @Override public double now() {
                return 1_000;
            }

            @Override public Timeout after(double millis, Runnable task) {
                return () -> {};
            }
        }, new Random(1));
        for (int i = 0; i < 10; i++) {
            RequestArrived arrival = new RequestArrived("r" + i, "read", plan, "k" + i, 3_000, "v", 1, 7, 2, again);
            assertTrue(shedding.retryAfter(arrival).isEmpty(), "goes on to the module");
            shedding.rejected(arrival);
        }
        Digest digest = new Digest("i0", 1, 10_000, 10);
        shedding.look(1_000, digest, "i0");
        digest.publish(1_000);
        return digest.on(SheddingFilter.REFUSED, 1_000);
    }

    @Test void onlyWhatFoundNoRoomIsAClaim() {
        assertEquals(Map.of("i0", Map.of("7", 6.0)), told("free", false));
        assertEquals(Map.of(), told("limited", false), "its limit may have turned it away");
        assertEquals(Map.of(), told("free", true), "the bound of repeats may have");
    }
}
