package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import org.junit.jupiter.api.Test;

/** Updates of the endpoint list, its lease, and values computed over all nodes. */
class NodeTableTest {
    private final StateHarness harness = new StateHarness();
    private final NodeTable nodes = harness.state.nodes;

    private void apply(boolean complete, EndpointState state, String... ids) {
        List<Endpoint> endpoints = List.of(ids).stream().map(id -> new Endpoint(id, "a", 0, state, 0)).toList();
        nodes.apply(new EndpointsReceived(endpoints, complete, false));
    }

    private List<String> ids() {
        return nodes.all().stream().map(n -> n.id).toList();
    }

    @Test void incrementalUpdatesAddAndRemoveNodes() {
        apply(false, EndpointState.HEALTHY, "b", "a");
        apply(false, EndpointState.HEALTHY, "c");
        apply(false, EndpointState.REMOVED, "a");

        assertEquals(List.of("b", "c"), ids(), "in the order of their first entry");
    }

    @Test void aCompleteListRemovesNodesItDoesNotContain() {
        apply(false, EndpointState.HEALTHY, "a", "b");

        apply(true, EndpointState.HEALTHY, "b");

        assertEquals(List.of("b"), ids());
        assertEquals(1, nodes.size());
    }

    @Test void aRemovedNodeIsKeptUntilItsLastAttemptEnds() {
        Node node = harness.node("a", 0);
        harness.send(harness.request("r", ControlHarness.READ, "v", 1, 0), node);
        apply(true, EndpointState.HEALTHY, "b");
        assertEquals(List.of("a", "b"), ids());

        nodes.removeIfGone(node);
        assertEquals(2, nodes.size());
        node.release(InFlightAttempt.key("r", 0));
        nodes.removeIfGone(node);

        assertEquals(List.of("b"), ids());
    }

    @Test void theLeaseExpires() {
        assertTrue(nodes.isLeaseValid());

        nodes.renewLease(harness.now() + 1);
        assertTrue(nodes.isLeaseValid());
        harness.advance(1);

        assertFalse(nodes.isLeaseValid());
    }

    @Test void onlyNodesThatFailedThisInstanceAreReportedWithTheirProbes() {
        Node a = harness.node("a", 0);
        harness.node("b", 1);
        nodes.suspected(Set.of("b"));
        assertEquals(Map.of(), nodes.unresponsive());

        harness.end(harness.send(harness.request("r", ControlHarness.READ, "v", 1, 0), a), AttemptOutcome.CONNECT_FAILED);
        assertEquals(Map.of("a", 0), nodes.unresponsive());
        harness.send(harness.request("probe", ControlHarness.READ, "v", 1, 0), a);

        assertEquals(Map.of("a", 1), nodes.unresponsive());
    }

    @Test void theMedianOfBestLatenciesCoversWarmNodesThatHaveAnswered() {
        harness.node("unknown", 9);
        assertEquals(OptionalDouble.empty(), nodes.medianBestLatency());
        double[] latencies = {30, 10, 20, 40};
        for (int i = 0; i < latencies.length; i++) {
            harness.serve(harness.node("n" + i, i), 1, latencies[i]);
        }
        harness.serve(harness.node("cold", 5, harness.now()), 1, 500);

        assertEquals(30, nodes.medianBestLatency().orElseThrow(), "the upper of the two middle values");
    }
}
