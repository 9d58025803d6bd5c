package kelphollow.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.ControlSettings.Rules;
import kelphollow.digest.Digest;
import kelphollow.digest.OverloadReport;
import kelphollow.routing.Ticker;
import org.junit.jupiter.api.Test;

/** Only rejections for lack of capacity are reported to the other instances as overload. */
class SheddingFilterTest {
    private static List<OverloadReport> reportsAfterRejections(String plan, boolean isRetry) {
        ControlSettings settings = new ControlSettings(0, 2, "a", 1, 4, 10_000, true, false, 1_000, 2, 0.4, 0.05,
            List.of(new RequestClass("read", 300, 2_000, 2, 0.1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false,
                false)),
            List.of(new Plan("free", 10, 0, 1, 3, 0, 0, 0), new Plan("limited", 10, 0, 1, 3, 20, 24, 6)),
            new Rules(250, 0.25, 10_000, 2, 1_000, 6, 200, 3, 0.1, 5_000, 10_000));
        SheddingFilter filter = new SheddingFilter(settings, new Ticker() {
            @Override public double now() {
                return 1_000;
            }

            @Override public Timeout after(double millis, Runnable task) {
                return () -> {};
            }
        }, new Random(1));
        for (int i = 0; i < 10; i++) {
            RequestArrived arrival = new RequestArrived("r" + i, "read", plan, "k" + i, 3_000, "v", 1, 7, 2, isRetry);
            assertTrue(filter.retryAfter(arrival).isEmpty(), "shed before the decision module");
            filter.rejected(arrival);
        }
        Digest digest = new Digest("i0", 1, 10_000, 10);
        filter.update(1_000, digest, "i0");
        digest.commit(1_000);
        return digest.overloadReports(1_000);
    }

    @Test void onlyRejectionsForLackOfCapacityAreReported() {
        assertEquals(List.of(new OverloadReport("i0", 7, 6)), reportsAfterRejections("free", false));
        assertEquals(List.of(), reportsAfterRejections("limited", false), "rejected by the rate limit");
        assertEquals(List.of(), reportsAfterRejections("free", true), "rejected by the retry budget");
    }
}
