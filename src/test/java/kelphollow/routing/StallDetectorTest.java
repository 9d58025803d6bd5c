package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import kelphollow.decision.Control;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.Rules;
import org.junit.jupiter.api.Test;

/** The measured latency of a node excludes the time in which the scheduler itself gets no CPU time. */
class StallDetectorTest {
    private static final double HEARTBEAT_MS = 10;
    private double now = 1_000;
    private final List<Runnable> heartbeats = new ArrayList<>();
    private final List<Attempt> sent = new ArrayList<>();

    private final Ticker ticker = new Ticker() {
        @Override public double now() {
            return now;
        }

        @Override public Timeout after(double millis, Runnable task) {
            if (millis == HEARTBEAT_MS) {
                heartbeats.add(task);
            }
            return () -> {};
        }
    };

    private final Backend backend = new Backend() {
        @Override public void start(Attempt attempt) {
            sent.add(attempt);
        }

        @Override public void cancel(Attempt attempt) {}

        @Override public void closeIdleConnections(String node) {}
    };

    private final ResponseCallback ignored = new ResponseCallback() {
        @Override public void served(Object response) {}

        @Override public void rejected(double retryAfter, boolean timedOut) {}

        @Override public void failed(boolean timedOut) {}
    };

    private Attempt attempt() {
        ControlSettings settings = new ControlSettings(0, 1, "", 1, 3, 100, true, false, 0, 2, 0.4, 0.05,
            List.of(RouterHarness.READ), List.of(RouterHarness.FREE), new Rules(250, 0.25, 10_000, 2, 1000, 6, 0, 0, 0, 0,
                0));
        RequestRouter router = new RequestRouter(new Control(settings, 1, now), ticker, backend);
        router.updateEndpoints(RouterHarness.healthy("n"), true);
        router.start(() -> {}, false);
        router.submit(new RequestArrived("", "read", "free", "k", now + 2_000, "v", 1, 0, 1), null, ignored);
        return sent.get(0);
    }

    /** Advances the clock; heartbeats run only if the scheduler is {@code running}. */
    private void advance(int millis, boolean running) {
        for (int i = 0; i < millis; i++) {
            now++;
            if (running && now % HEARTBEAT_MS == 0) {
                heartbeats.remove(0).run();
            }
        }
    }

    @Test void latencyExcludesTheTimeInWhichTheSchedulerWasStalled() {
        Attempt attempt = attempt();

        advance(30, true);
        assertEquals(30, attempt.latency());
        advance(200, false);               // the response came in this time
        assertEquals(45, attempt.latency(), "heartbeats are due every 10 ms and may be 5 ms late");
        advance(20, true);
        assertEquals(65, attempt.latency(), 10);
    }
}
