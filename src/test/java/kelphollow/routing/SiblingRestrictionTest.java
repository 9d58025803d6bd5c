package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import org.junit.jupiter.api.Test;

/** When the list of the other process of an upgrade restricts the own one, and what a restriction does. */
class SiblingRestrictionTest {
    private static final Map<String, Double> USABLE = Map.of("a", 0.0);
    private final SiblingRestriction restriction = new SiblingRestriction("service", 5);

    private static SiblingList list(String source, long version) {
        return new SiblingList(source, version, USABLE);
    }

    @Test void aNewerListRestrictsUntilTheOwnOneIsAsNew() {
        restriction.siblingListRead(list("service", 7));
        restriction.listReceived("service", 6);
        assertEquals(USABLE, restriction.usable());

        restriction.listReceived("service", 7);

        assertNull(restriction.usable());
    }

    @Test void neitherAnOlderListNorOneOfAnotherServiceRestricts() {
        restriction.siblingListRead(list("service", 5));
        assertNull(restriction.usable());
        restriction.siblingListRead(list("another", 9));
        assertNull(restriction.usable());
    }

    @Test void aListFromAnotherServiceOrARestartedCountLiftsTheRestriction() {
        restriction.siblingListRead(list("service", 7));
        restriction.listReceived("another", 2);
        assertNull(restriction.usable());

        restriction.siblingListRead(list("another", 4));
        assertEquals(USABLE, restriction.usable());
        restriction.listReceived("another", 1);
        assertNull(restriction.usable(), "versions of a restarted count are not comparable with earlier ones");
    }

    @Test void onlyNodesThatBothListsAllowWithTheSameStartAreUsed() {
        RouterHarness harness = new RouterHarness();
        harness.router.updateEndpoints(RouterHarness.healthy("a", "b"), true);
        harness.router.start(() -> {}, false);

        harness.router.restrictEndpoints(Map.of("a", 0.0, "b", 9_000.0, "c", 0.0));

        assertTrue(harness.router.acceptsRequests("a"));
        assertFalse(harness.router.acceptsRequests("b"), "it has restarted and warms up");
        assertFalse(harness.router.acceptsRequests("c"), "its address is not known here");
        assertEquals(List.of("b"), harness.closedIdle);
        harness.submit("read", "free", "k");
        assertEquals(List.of("a"), harness.sentTo());
        assertEquals(Map.of("a", 0.0, "b", 0.0), harness.router.listedAsUsable(), "what the own list says");

        harness.router.restrictEndpoints(null);
        assertTrue(harness.router.acceptsRequests("b"));
    }

    @Test void aListUpdateDoesNotLiftTheRestrictionOfANode() {
        RouterHarness harness = new RouterHarness();
        harness.router.restrictEndpoints(USABLE);

        harness.router.updateEndpoints(List.of(new ResolvedEndpoint(
            new Endpoint("b", "", 0, EndpointState.HEALTHY, 0), new InetSocketAddress(1))), false);

        assertFalse(harness.router.acceptsRequests("b"));
    }
}
