package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kelphollow.decision.Control;
import kelphollow.decision.ControlApi.*;
import org.junit.jupiter.api.Test;

/** A limit handed over by the process before goes on from its level as of then, not from this process's start. */
class HandedLimitsTest {
    private double now = 1_000;
    private final List<Attempt> sent = new ArrayList<>();

    private final Ticker ticker = new Ticker() {
        @Override public double now() {
            return now;
        }

        @Override public Timeout after(double millis, Runnable task) {
            return () -> { };
        }
    };

    private int sentAfterSeconds(Map<String, Double> handed, double waited) {
        RequestClass read = new RequestClass("read", 300, 2000, 2, 0.1, Effect.SAFE, Group.ALL, 0, false, false);
        Plan plan = new Plan("capped", 10, 5, 1, 1, 10, 10, 0);   // 10 units a second, 10 at once
        Core core = new Core(new Control(new Settings(0, 1, "", 1, 3, 100, true, false, 0, 2, 0.4, 0.05, List.of(read),
            List.of(plan), new Rules(250, 0.25, 10_000, 2, 1000, 6, 0, 0, 0, 0, 0)), 1, now), ticker, new Backend() {
                @Override public void start(Attempt attempt) {
                    sent.add(attempt);
                }

                @Override public void abandon(Attempt attempt) { }

                @Override public void retire(String node) { }
            });
        core.learn(List.of(new Member(new NodeEntry("n", "", 0, Phase.HEALTHY, 0), new InetSocketAddress(1))), true,
            false);
        core.start(() -> { });
        now += waited;
        core.restoreLimits(handed);
        for (int i = 0; i < 10; i++) {
            core.take(new Arrival("", "read", "capped", "k" + i, now + 2_000, "v", 1, 0, 1), null, new Caller() {
                @Override public void served(Object answer) { }

                @Override public void refused(double after, boolean timedOut) { }

                @Override public void failed(boolean timedOut) { }
            });
        }
        return sent.size();
    }

    @Test void anEmptyHandedLimitStaysEmptyWhateverTimePassedBefore() {
        assertEquals(0, sentAfterSeconds(Map.of("v", 0.0), 3_000));
    }

    @Test void aHandedLevelIsSpentOnce() {
        assertEquals(2, sentAfterSeconds(Map.of("v", 2.0), 3_000));
    }

    @Test void withoutAHandOverTheLimitFillsFromTheStart() {
        assertEquals(3, sentAfterSeconds(Map.of(), 3_000), "as far as the node's window lets");
    }
}
