package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import org.junit.jupiter.api.Test;

/** Updates of the endpoint list, and the effective states that maintenance and ejections give its entries. */
class EndpointTableTest {
    private final EndpointTable table = new EndpointTable();

    private static ResolvedEndpoint node(String name, int port, double startedAt) {
        return new ResolvedEndpoint(new Endpoint(name, "z", 0, EndpointState.HEALTHY, startedAt),
            new InetSocketAddress("127.0.0.1", port));
    }

    @Test void aCompleteListRemovesWhatItDoesNotName() {
        table.update(RouterHarness.healthy("a", "b"), true);

        EndpointTable.Update update = table.update(RouterHarness.healthy("b", "c"), true);

        assertEquals(List.of("a"), update.unusable());
        assertNull(table.find("a"));
        assertNotNull(table.find("b"));
        assertTrue(table.acceptsRequests("c"));
    }

    @Test void aPartialUpdateKeepsWhatItDoesNotName() {
        table.update(RouterHarness.healthy("a", "b"), true);

        EndpointTable.Update update = table.update(List.of(RouterHarness.node("b", EndpointState.REMOVED)), false);

        assertEquals(List.of("b"), update.unusable());
        assertTrue(table.acceptsRequests("a"));
        assertNull(table.find("b"));
    }

    @Test void connectionsToANodeThatHasMovedOrRestartedAreUnusable() {
        table.update(List.of(node("same", 1, 5), node("moved", 1, 5), node("restarted", 1, 5)), true);

        EndpointTable.Update update =
            table.update(List.of(node("same", 1, 5), node("moved", 2, 5), node("restarted", 1, 6)), false);

        assertEquals(List.of("moved", "restarted"), update.unusable());
    }

    @Test void anEjectedNodeIsDrainingAndOtherwiseUnchanged() {
        table.update(List.of(node("a", 1, 5), node("b", 1, 7)), true);

        List<Endpoint> changed = table.eject(Set.of("a"));

        assertEquals(List.of(new Endpoint("a", "z", 0, EndpointState.DRAINING, 5)), changed);
        assertFalse(table.acceptsRequests("a"));
        assertEquals(List.of(new Endpoint("a", "z", 0, EndpointState.HEALTHY, 5)), table.eject(Set.of()));
        assertTrue(table.acceptsRequests("a"));
    }

    @Test void aNodeInMaintenanceIsDrainingWhateverStateTheListGives() {
        table.maintenance().add("a");

        EndpointTable.Update update = table.update(List.of(node("a", 1, 5)), true);

        assertEquals(List.of(new Endpoint("a", "z", 0, EndpointState.DRAINING, 5)), update.effective());
        assertEquals(List.of("a"), update.unusable());
        assertFalse(table.acceptsRequests("a"));
    }
}
