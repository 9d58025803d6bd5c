package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.*;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import kelphollow.decision.Control;
import kelphollow.decision.ControlApi.*;
import org.junit.jupiter.api.Test;

/** Bans laid over the node list: nothing new to a banned node, whatever discovery says, until it is lifted. */
class MaintenanceTest {
    private double now = 1_000;
    private final List<Attempt> sent = new ArrayList<>();
    private final List<String> retired = new ArrayList<>();

    private final Ticker ticker = new Ticker() {
        @Override public double now() {
            return now;
        }

        @Override public Timeout after(double millis, Runnable task) {
            return () -> { };
        }
    };

    private final Backend backend = new Backend() {
        @Override public void start(Attempt attempt) {
            sent.add(attempt);
        }

        @Override public void abandon(Attempt attempt) { }

        @Override public void retire(String node) {
            retired.add(node);
        }
    };

    private final Core core = core();

    private Core core() {
        RequestClass read = new RequestClass("read", 300, 2000, 2, 0.1, Effect.SAFE, Group.ALL, 0, false, false);
        Plan plan = new Plan("free", 10, 5, 1, 1, 0, 0, 0);
        return new Core(new Control(new Settings(0, 1, "", 1, 3, 100, true, false, 0, 2, 0.4, 0.05, List.of(read),
            List.of(plan), new Rules(250, 0.25, 10_000, 2, 1000, 6, 0, 0, 0, 0, 0)), 1, now), ticker, backend);
    }

    private static Member node(String name, Phase phase) {
        return new Member(new NodeEntry(name, "", 0, phase, 0), new InetSocketAddress(1));
    }

    private void ask(int count) {
        for (int i = 0; i < count; i++) {
            core.take(new Arrival("", "read", "free", "k" + i, now + 2_000, "v", 1, 0, 1), null, new Caller() {
                @Override public void served(Object answer) { }

                @Override public void refused(double after, boolean timedOut) { }

                @Override public void failed(boolean timedOut) { }
            });
        }
    }

    private List<String> sentTo() {
        return sent.stream().map(a -> a.member().entry().node()).toList();
    }

    @Test void aBannedNodeGetsNothingNewEvenWhenDiscoveryCallsItReady() {
        core.learn(List.of(node("a", Phase.HEALTHY), node("b", Phase.HEALTHY)), true, false);
        core.start(() -> { });
        assertTrue(core.ban("a"));
        assertEquals(List.of("a"), retired, "its idle connections are closed");
        core.learn(List.of(node("a", Phase.HEALTHY), node("b", Phase.HEALTHY)), true, false);
        ask(20);
        assertFalse(sent.isEmpty());
        assertFalse(sentTo().contains("a"), sentTo().toString());
        assertFalse(core.wantsWork("a"));
    }

    @Test void anIdThatNoListNamesIsRefused() {
        core.learn(List.of(node("a", Phase.HEALTHY)), true, false);
        core.start(() -> { });
        assertFalse(core.ban("zz"));
        assertFalse(core.lift("zz"));
        assertTrue(core.lift("a"), "a known node that is not banned may be freed again");
        assertEquals(Set.of(), core.bans());
    }

    @Test void aLiftedNodeComesBackColdAndServesAgain() {
        core.learn(List.of(node("a", Phase.HEALTHY)), true, false);
        core.start(() -> { });
        core.ban("a");
        core.ban("a");
        now += 5_000;
        ask(3);
        assertTrue(sent.isEmpty(), "its only node is out");
        assertTrue(core.lift("a"));
        assertTrue(core.wantsWork("a"));
        assertEquals(Set.of(), core.bans(), "one call back frees it after two out");
        ask(3);
        assertTrue(sentTo().contains("a"));
    }

    @Test void bansOfAnotherProcessAreFollowedAndWaitForTheirNode() {
        core.learn(List.of(node("a", Phase.HEALTHY)), true, false);
        core.start(() -> { });
        core.adoptBans(Set.of("a", "later"));
        assertEquals(Set.of("a", "later"), core.bans());
        assertFalse(core.wantsWork("a"));
        core.learn(List.of(node("later", Phase.HEALTHY)), false, false);
        assertFalse(core.wantsWork("later"), "a ban told before the node was listed holds when it is");
        core.adoptBans(Set.of());
        assertTrue(core.wantsWork("a"));
        assertTrue(core.wantsWork("later"));
    }
}
