package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import kelphollow.decision.ControlEvent.EndpointState;
import org.junit.jupiter.api.Test;

/** Bans laid over the node list: nothing new to a banned node, whatever discovery says, until it is lifted. */
class MaintenanceTest {
    @Test void aNodeCordonedByTheWordOfOthersGetsNothingNewAndComesBackAsItWas() {
        RouterHarness h = new RouterHarness();
        h.router.start(() -> {}, false);
        h.router.learn(List.of(RouterHarness.node("a", EndpointState.HEALTHY)), true, false);
        h.router.eject(java.util.Set.of("a", "unknown"));
        assertEquals(List.of("a"), h.retired);
        h.ask("read", "free", "k1");
        assertEquals(List.of(), h.sentTo());
        h.router.learn(List.of(RouterHarness.node("a", EndpointState.HEALTHY)), true, false);
        h.ask("read", "free", "k2");
        assertEquals(List.of(), h.sentTo(), "its list does not lift it");
        h.router.ban("a");
        h.router.lift("a");
        h.ask("read", "free", "k4");
        assertEquals(List.of(), h.sentTo(), "nor does an operator's word about a ban");
        h.router.eject(java.util.Set.of());
        h.ask("read", "free", "k3");
        assertTrue(h.sentTo().contains("a"));
    }

    private final RouterHarness h = new RouterHarness();
    private final RequestRouter router = h.router;

    private void ask(int count) {
        for (int i = 0; i < count; i++) {
            h.ask("read", "free", "k" + i);
        }
    }

    @Test void aBannedNodeGetsNothingNewEvenWhenDiscoveryCallsItReady() {
        router.learn(List.of(RouterHarness.node("a", EndpointState.HEALTHY), RouterHarness.node("b", EndpointState.HEALTHY)),
            true, false);
        router.start(() -> {}, false);
        assertTrue(router.ban("a"));
        assertEquals(List.of("a"), h.retired, "its idle connections are closed");
        router.learn(List.of(RouterHarness.node("a", EndpointState.HEALTHY), RouterHarness.node("b", EndpointState.HEALTHY)),
            true, false);
        ask(20);
        assertFalse(h.sent.isEmpty());
        assertFalse(h.sentTo().contains("a"), h.sentTo().toString());
        assertFalse(router.wantsWork("a"));
    }

    @Test void anIdThatNoListNamesIsRefused() {
        router.learn(List.of(RouterHarness.node("a", EndpointState.HEALTHY)), true, false);
        router.start(() -> {}, false);
        assertFalse(router.ban("zz"));
        assertFalse(router.lift("zz"));
        assertTrue(router.lift("a"), "a known node that is not banned may be freed again");
        assertEquals(Set.of(), router.bans());
    }

    @Test void aLiftedNodeComesBackColdAndServesAgain() {
        router.learn(List.of(RouterHarness.node("a", EndpointState.HEALTHY)), true, false);
        router.start(() -> {}, false);
        router.ban("a");
        router.ban("a");
        h.now += 5_000;
        ask(3);
        assertTrue(h.sent.isEmpty(), "its only node is out");
        assertTrue(router.lift("a"));
        assertTrue(router.wantsWork("a"));
        assertEquals(Set.of(), router.bans(), "one call back frees it after two out");
        ask(3);
        assertTrue(h.sentTo().contains("a"));
    }

    @Test void bansOfAnotherProcessAreFollowedAndWaitForTheirNode() {
        router.learn(List.of(RouterHarness.node("a", EndpointState.HEALTHY)), true, false);
        router.start(() -> {}, false);
        router.adoptBans(Set.of("a", "later"));
        assertEquals(Set.of("a", "later"), router.bans());
        assertFalse(router.wantsWork("a"));
        router.learn(List.of(RouterHarness.node("later", EndpointState.HEALTHY)), false, false);
        assertFalse(router.wantsWork("later"), "a ban told before the node was listed holds when it is");
        router.adoptBans(Set.of());
        assertTrue(router.wantsWork("a"));
        assertTrue(router.wantsWork("later"));
    }
}
