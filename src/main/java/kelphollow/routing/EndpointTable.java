package kelphollow.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.maintenance.MaintenanceSet;

/**
 * The endpoint list as last received, with addresses, and its overrides: nodes in maintenance, and nodes ejected on the
 * reports of other instances. The effective state of an overridden node is draining. Confined to the event loop.
 */
final class EndpointTable {
    /**
     * The result of an update.
     *
     * @param effective the entries received, in their effective state
     * @param unusable nodes whose idle connections must be closed
     */
    record Update(List<Endpoint> effective, List<String> unusable) {}

    private final Map<String, ResolvedEndpoint> endpoints = new HashMap<>();
    private final MaintenanceSet maintenance = new MaintenanceSet();
    private Set<String> ejected = Set.of();
    /** The nodes that may be used, with the time of their last start, by another process's list; null: any. */
    private Map<String, Double> restriction;

    /** The entry of the node with its address, or null if the list does not name the node. */
    ResolvedEndpoint find(String node) {
        return endpoints.get(node);
    }

    /** The nodes in maintenance, whether or not the list names them. */
    MaintenanceSet maintenance() {
        return maintenance;
    }

    /** The entry with the state that the overrides give it, as the decision module sees it. */
    Endpoint effective(Endpoint endpoint) {
        boolean overridden = maintenance.contains(endpoint.node()) || ejected.contains(endpoint.node())
            || !isWithin(restriction, endpoint);
        if (!overridden || endpoint.state() != EndpointState.HEALTHY) {
            return endpoint;
        }
        return new Endpoint(endpoint.node(), endpoint.zone(), endpoint.cell(), EndpointState.DRAINING, endpoint.startedAt());
    }

    private static boolean isWithin(Map<String, Double> restriction, Endpoint endpoint) {
        return restriction == null || Objects.equals(restriction.get(endpoint.node()), endpoint.startedAt());
    }

    /** The nodes that the received list allows to be used, without overrides, with the time of their last start. */
    Map<String, Double> listedAsUsable() {
        Map<String, Double> usable = new HashMap<>();
        for (ResolvedEndpoint entry : endpoints.values()) {
            if (entry.endpoint().state() == EndpointState.HEALTHY) {
                usable.put(entry.endpoint().node(), entry.endpoint().startedAt());
            }
        }
        return usable;
    }

    /** Whether new requests may go to the node. */
    boolean acceptsRequests(String node) {
        ResolvedEndpoint found = endpoints.get(node);
        return found != null && effective(found.endpoint()).state() == EndpointState.HEALTHY;
    }

    /** Applies a received list: all entries if {@code complete}, else changes only. */
    Update update(List<ResolvedEndpoint> received, boolean complete) {
        List<String> unusable = new ArrayList<>();
        if (complete) {
            Map<String, ResolvedEndpoint> before = new HashMap<>(endpoints);
            endpoints.clear();
            received.forEach(entry -> before.remove(entry.endpoint().node()));
            unusable.addAll(before.keySet());
        }
        List<Endpoint> entries = new ArrayList<>();
        for (ResolvedEndpoint entry : received) {
            String node = entry.endpoint().node();
            ResolvedEndpoint old = endpoints.put(node, entry);
            Endpoint effective = effective(entry.endpoint());
            if (hasRestarted(old, entry) || effective.state() != EndpointState.HEALTHY) {
                unusable.add(node);
            }
            entries.add(effective);
            if (entry.endpoint().state() == EndpointState.REMOVED) {
                endpoints.remove(node);
            }
        }
        return new Update(entries, unusable);
    }

    private static boolean hasRestarted(ResolvedEndpoint old, ResolvedEndpoint entry) {
        return old != null
            && (!old.address().equals(entry.address()) || old.endpoint().startedAt() != entry.endpoint().startedAt());
    }

    /**
     * Restricts the nodes in use to these, with these start times, or lifts the restriction if null. Returns the entries for
     * which that makes a difference, in their effective state.
     */
    List<Endpoint> restrictTo(Map<String, Double> usable) {
        Map<String, Double> before = restriction;
        restriction = usable;
        return endpoints.values().stream().map(ResolvedEndpoint::endpoint)
            .filter(e -> isWithin(before, e) != isWithin(usable, e)).map(this::effective).toList();
    }

    /**
     * Replaces the set of ejected nodes. Returns the entries whose ejection has changed, in their effective state.
     */
    List<Endpoint> eject(Set<String> nodes) {
        Set<String> before = ejected;
        ejected = Set.copyOf(nodes);
        return endpoints.values().stream().map(ResolvedEndpoint::endpoint)
            .filter(e -> before.contains(e.node()) != ejected.contains(e.node())).map(this::effective).toList();
    }
}
