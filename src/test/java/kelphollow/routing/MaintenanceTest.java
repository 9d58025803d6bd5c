package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Maintenance and ejections override the endpoint list: until they end, the node gets no new requests, whatever state
 * discovery reports.
 */
class MaintenanceTest {
    private final RouterHarness harness = new RouterHarness();
    private final RequestRouter router = harness.router;

    private void start(String... nodes) {
        router.updateEndpoints(RouterHarness.healthy(nodes), true);
        router.start(() -> {}, false);
    }

    private void submit(int count) {
        for (int i = 0; i < count; i++) {
            harness.submit("read", "free", "k" + i);
        }
    }

    @Test void anEjectedNodeGetsNoNewRequestsUntilTheEjectionEnds() {
        router.start(() -> {}, false);
        router.updateEndpoints(RouterHarness.healthy("a"), true);

        router.eject(Set.of("a", "unknown"));
        assertEquals(List.of("a"), harness.closedIdle);
        harness.submit("read", "free", "k1");
        assertEquals(List.of(), harness.sentTo());

        router.updateEndpoints(RouterHarness.healthy("a"), true);
        harness.submit("read", "free", "k2");
        assertEquals(List.of(), harness.sentTo(), "an endpoint list does not end the ejection");

        router.startMaintenance("a");
        router.endMaintenance("a");
        harness.submit("read", "free", "k4");
        assertEquals(List.of(), harness.sentTo(), "the end of maintenance does not end the ejection");

        router.eject(Set.of());
        harness.submit("read", "free", "k3");
        assertTrue(harness.sentTo().contains("a"));
    }

    @Test void aNodeInMaintenanceGetsNoNewRequestsEvenIfDiscoveryReportsItHealthy() {
        start("a", "b");

        assertTrue(router.startMaintenance("a"));
        assertEquals(List.of("a"), harness.closedIdle, "its idle connections are closed");
        router.updateEndpoints(RouterHarness.healthy("a", "b"), true);
        submit(20);

        assertFalse(harness.sent.isEmpty());
        assertFalse(harness.sentTo().contains("a"), harness.sentTo().toString());
        assertFalse(router.acceptsRequests("a"));
    }

    @Test void anIdThatNoListNamesIsRejected() {
        start("a");

        assertFalse(router.startMaintenance("zz"));
        assertFalse(router.endMaintenance("zz"));
        assertTrue(router.endMaintenance("a"), "the maintenance of a known node may be ended again");
        assertEquals(Set.of(), router.nodesInMaintenance());
    }

    @Test void aNodeServesAgainInSlowStartAfterMaintenance() {
        start("a");

        router.startMaintenance("a");
        router.startMaintenance("a");
        harness.now += 5_000;
        submit(3);
        assertTrue(harness.sent.isEmpty(), "its only node is in maintenance");

        assertTrue(router.endMaintenance("a"));
        assertTrue(router.acceptsRequests("a"));
        assertEquals(Set.of(), router.nodesInMaintenance(), "one call ends it after two have started it");
        submit(3);
        assertTrue(harness.sentTo().contains("a"));
    }

    @Test void maintenanceRecordedByAnotherProcessAppliesOnceTheNodeIsListed() {
        start("a");

        router.setNodesInMaintenance(Set.of("a", "later"));
        assertEquals(Set.of("a", "later"), router.nodesInMaintenance());
        assertFalse(router.acceptsRequests("a"));

        router.updateEndpoints(RouterHarness.healthy("later"), false);
        assertFalse(router.acceptsRequests("later"), "maintenance began before the node was listed");

        router.setNodesInMaintenance(Set.of());
        assertTrue(router.acceptsRequests("a"));
        assertTrue(router.acceptsRequests("later"));
    }
}
