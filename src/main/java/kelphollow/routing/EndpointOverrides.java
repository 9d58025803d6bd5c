package kelphollow.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.maintenance.MaintenanceSet;

/**
 * Overrides of the endpoint list: maintenance by the operators, ejection on the reports of other instances, and a newer list
 * of the other process of an upgrade. Each makes the decision module see a node as draining. Confined to the event loop.
 */
final class EndpointOverrides {
    private final Ticker ticker;
    private final DecisionLoop decisions;
    private final EndpointTable table;
    private final Consumer<String> closeIdleConnections;

    /** {@code closeIdleConnections}: closes the idle connections to a node. */
    EndpointOverrides(Ticker ticker, DecisionLoop decisions, EndpointTable table, Consumer<String> closeIdleConnections) {
        this.ticker = ticker;
        this.decisions = decisions;
        this.table = table;
        this.closeIdleConnections = closeIdleConnections;
    }

    /** See {@link RequestRouter#startMaintenance}. */
    boolean startMaintenance(String node) {
        ResolvedEndpoint endpoint = table.find(node);
        if (endpoint == null) {
            return table.maintenance().contains(node);
        }
        if (table.maintenance().add(node)) {
            notifyChanged(List.of(table.effective(endpoint.endpoint())));
            closeIdleConnections.accept(node);
        }
        return true;
    }

    /** See {@link RequestRouter#endMaintenance}. */
    boolean endMaintenance(String node) {
        boolean wasInMaintenance = table.maintenance().remove(node);
        ResolvedEndpoint endpoint = table.find(node);
        if (wasInMaintenance && endpoint != null) {
            notifyChanged(List.of(table.effective(restarted(endpoint.endpoint()))));
            closeIdleConnections.accept(node);
        }
        return wasInMaintenance || endpoint != null;
    }

    /** The entry of a node after maintenance: the node may have restarted, so it counts as started now, for slow start. */
    private Endpoint restarted(Endpoint endpoint) {
        return new Endpoint(endpoint.node(), endpoint.zone(), endpoint.cell(), endpoint.state(),
            Math.max(endpoint.startedAt(), ticker.now()));
    }

    /** See {@link RequestRouter#setNodesInMaintenance}. */
    void setNodesInMaintenance(Set<String> nodes) {
        MaintenanceSet.Change change = table.maintenance().changeTo(nodes);
        for (String node : change.added()) {
            if (!startMaintenance(node)) {
                table.maintenance().add(node);   // not listed yet; in maintenance from when a list names it
            }
        }
        change.removed().forEach(this::endMaintenance);
    }

    /** The nodes in maintenance; a copy. */
    Set<String> nodesInMaintenance() {
        return table.maintenance().nodes();
    }

    /** See {@link FleetRouting#eject}. */
    void eject(Set<String> nodes) {
        applyChanged(table.eject(nodes));
    }

    /** See {@link RequestRouter#restrictEndpoints}. */
    void restrictTo(Map<String, Double> usable) {
        applyChanged(table.restrictTo(usable));
    }

    private void applyChanged(List<Endpoint> changed) {
        if (!changed.isEmpty()) {
            notifyChanged(changed);
            for (Endpoint endpoint : changed) {
                if (endpoint.state() != EndpointState.HEALTHY) {
                    closeIdleConnections.accept(endpoint.node());
                }
            }
        }
    }

    private void notifyChanged(List<Endpoint> entries) {
        decisions.handle(new EndpointsReceived(entries, false, true));
    }
}
