package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.*;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import kelphollow.decision.Control;
import kelphollow.decision.ControlApi.*;
import org.junit.jupiter.api.Test;

/** New settings in the module: new classes are served, fewer attempts bind, requests under way keep their class. */
class RetunedTest {
    private double now = 1_000;
    private final List<Attempt> sent = new ArrayList<>();
    private final List<String> failed = new ArrayList<>();
    private final Ticker ticker = new Ticker() {
        @Override public double now() {
            return now;
        }

        @Override public Timeout after(double millis, Runnable task) {
            if (millis < 1_000) {
                timers.add(task);   // the module's own wake-ups; not the attempts' time-outs
            }
            return () -> { };
        }
    };
    private final List<Runnable> timers = new ArrayList<>();

    private void pass(double millis) {
        now += millis;
        List<Runnable> due = new ArrayList<>(timers);
        timers.clear();
        due.forEach(Runnable::run);
    }
    private static final RequestClass READ =
        new RequestClass("read", 300, 2000, 2, 0.1, Effect.SAFE, Group.ALL, 0, false, false);
    private final Core core = new Core(new Control(new Settings(0, 1, "", 1, 3, 100, true, false, 0, 2, 0.4, 0.05,
        List.of(READ), List.of(new Plan("free", 10, 5, 1, 1, 0, 0, 0)),
        new Rules(250, 0.25, 10_000, 2, 1000, 6, 0, 0, 0, 0, 0)), 1, now), ticker, new Backend() {
            @Override public void start(Attempt attempt) {
                sent.add(attempt);
            }

            @Override public void abandon(Attempt attempt) { }

            @Override public void retire(String node) { }
        });

    private void ask(String kind, String key) {
        core.take(new Arrival("", kind, "free", key, now + 2_000, "v", 1, 0, 1), null, new Caller() {
            @Override public void served(Object answer) { }

            @Override public void refused(double after, boolean timedOut) {
                failed.add(key);
            }

            @Override public void failed(boolean timedOut) {
                failed.add(key);
            }
        });
    }

    private void start() {
        core.learn(List.of(new Member(new NodeEntry("a", "", 0, Phase.HEALTHY, 0), new InetSocketAddress(1)),
            new Member(new NodeEntry("b", "", 0, Phase.HEALTHY, 0), new InetSocketAddress(2))), true, false);
        core.start(() -> { });
    }

    @Test void aClassThatAppearsIsServed() {
        start();
        ask("fresh", "k1");
        assertTrue(sent.isEmpty(), "unknown before");
        core.retune(List.of(READ, new RequestClass("fresh", 300, 2000, 1, 0.1, Effect.SAFE, Group.ALL, 0, false,
            false)), 3);
        ask("fresh", "k2");
        assertEquals(1, sent.size());
    }

    @Test void fewerAttemptsBindAtOnce() {
        start();
        core.retune(List.of(READ), 1);
        ask("read", "k1");
        assertEquals(1, sent.size());
        sent.get(0).ended(Result.of(Outcome.ERROR));
        pass(200);
        assertEquals(1, sent.size(), "one attempt is all it may have");
        assertEquals(List.of("k1"), failed);
    }

    @Test void withTheAttemptsItHadARequestIsTriedAgain() {
        start();
        ask("read", "k1");
        sent.get(0).ended(Result.of(Outcome.ERROR));
        pass(200);
        assertEquals(2, sent.size(), "the settings allow three");
        assertTrue(failed.isEmpty());
    }
}
