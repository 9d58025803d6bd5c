package kelphollow.protocol.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.routing.AttemptResult;
import org.junit.jupiter.api.Test;

/** Checks how a volume's usage and a node's load report are parsed, in the forms that nodes of either deployment send. */
class NodeReplyTest {
    private static AttemptResult reply(String usage, String loadReport) {
        List<RedisMessage> elements = List.of(RespCodec.bulk("v"), RespCodec.bulk(usage),
            RespCodec.bulk(loadReport));
        return NodeReply.read(RespCodec.array(elements), false);
    }

    @Test void missingUsageIsNotReportedAsZero() {
        assertEquals(37, reply("used=37,cost=4", "util=0.61").usagePercent());
        assertEquals(4, reply("used=37,cost=4", "util=0.61").unitsElsewhere());
        assertEquals(0, reply("used=0", "util=0.61").usagePercent(), "the volume is unused");
        assertTrue(reply("cost=4", "util=0.61").usagePercent() < 0, "not reported");
    }

    @Test void errorReplyReportsUsage() {
        ErrorRedisMessage error = new ErrorRedisMessage("ERR failed used=12,cost=1 util=0.5");

        assertEquals(12, NodeReply.read(error, false).usagePercent());
    }

    @Test void malformedUsageIsIgnored() {
        for (String usage : List.of("used=,cost=", "used=-3", "used=1e9", "used=NaN", "used=99999999999", "=", "used", "")) {
            AttemptResult result = reply(usage, "");

            assertEquals(AttemptOutcome.SERVED, result.outcome(), usage);
            assertTrue(result.usagePercent() < 0, usage);
            assertEquals(0, result.unitsElsewhere(), usage);
        }
    }

    @Test void loadReportKeepsOnlyInFlight() {
        assertEquals(Map.of(), reply("used=1", "util=0.61,queue=2,temper=7").loadReport(), "no inflight field");
        assertEquals(Map.of("inFlight", 7.0), reply("used=1", "inflight=7,util=x").loadReport());
        assertEquals(Map.of(), reply("used=1", "").loadReport(), "empty report");
    }
}
