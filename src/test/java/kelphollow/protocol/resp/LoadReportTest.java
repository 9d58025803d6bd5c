package kelphollow.protocol.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.redis.ErrorRedisMessage;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.routing.AttemptResult;
import org.junit.jupiter.api.Test;

/** Figures on use and load reports, as nodes of either deployment tell them. */
class LoadReportTest {
    private static AttemptResult answer(String use, String report) {
        return RespBackend.read(Resp.array(List.of(Resp.bulk("v"), Resp.bulk(use), Resp.bulk(report))), false);
    }

    @Test void useIsTakenAsItIsToldAndNoneIsNotNought() {
        assertEquals(37, answer("used=37,cost=4", "util=0.61").usagePercent());
        assertEquals(4, answer("used=37,cost=4", "util=0.61").unitsElsewhere());
        assertEquals(0, answer("used=0", "util=0.61").usagePercent(), "the volume rests");
        assertTrue(answer("cost=4", "util=0.61").usagePercent() < 0, "not told");
        assertEquals(12, RespBackend.read(new ErrorRedisMessage("ERR failed used=12,cost=1 util=0.5"), false)
            .usagePercent());
    }

    @Test void whatCannotBeReadOrIsNotNamedByTheSettingsIsPassedOver() {
        for (String use : List.of("used=,cost=", "used=-3", "used=1e9", "used=NaN", "used=99999999999", "=", "used", "")) {
            AttemptResult result = answer(use, "");
            assertEquals(AttemptOutcome.SERVED, result.outcome(), use);
            assertTrue(result.usagePercent() < 0, use);
            assertEquals(0, result.unitsElsewhere(), use);
        }
        assertEquals(Map.of(), answer("used=1", "util=0.61,queue=2,temper=7").loadReport(), "no field that is used");
        assertEquals(Map.of("inFlight", 7.0), answer("used=1", "inflight=7,util=x").loadReport());
        assertEquals(Map.of(), answer("used=1", "").loadReport(), "a report that is named but empty");
    }
}
