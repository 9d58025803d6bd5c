package kelphollow.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.maintenance.MaintenanceSet;

/**
 * The node list as it was last told, with addresses, and what is laid over it: the operators' bans, and the nodes that are
 * left alone by the word of other instances. A node that either names is shown as draining. For the core's event loop.
 */
final class EndpointTable {
    /** What a list brings for the module, and the nodes whose resting connections must close. */
    record News(List<Endpoint> entries, List<String> retired) {}

    private final Map<String, ResolvedEndpoint> members = new HashMap<>();
    private final MaintenanceSet bans = new MaintenanceSet();
    private Set<String> ejected = Set.of();

    /** The node with its address, or null if no list names it. */
    ResolvedEndpoint member(String node) {
        return members.get(node);
    }

    Collection<ResolvedEndpoint> members() {
        return members.values();
    }

    MaintenanceSet bans() {
        return bans;
    }

    /** The entry as the module sees it. */
    Endpoint shown(Endpoint e) {
        if (!bans.holds(e.node()) && !ejected.contains(e.node()) || e.state() != EndpointState.HEALTHY) {
            return e;
        }
        return new Endpoint(e.node(), e.zone(), e.cell(), EndpointState.DRAINING, e.startedAt());
    }

    /** Whether the node may have new work. */
    boolean wantsWork(String node) {
        ResolvedEndpoint m = members.get(node);
        return m != null && shown(m.endpoint()).state() == EndpointState.HEALTHY;
    }

    /** Follows a list, changes only or all of it. */
    News learn(List<ResolvedEndpoint> news, boolean complete) {
        List<String> retired = new ArrayList<>();
        if (complete) {
            Map<String, ResolvedEndpoint> before = new HashMap<>(members);
            members.clear();
            news.forEach(m -> before.remove(m.endpoint().node()));
            retired.addAll(before.keySet());
        }
        List<Endpoint> entries = new ArrayList<>();
        for (ResolvedEndpoint m : news) {
            ResolvedEndpoint old = members.put(m.endpoint().node(), m);
            boolean moved = old != null
                && (!old.address().equals(m.address()) || old.endpoint().startedAt() != m.endpoint().startedAt());
            Endpoint said = shown(m.endpoint());
            if (moved || said.state() != EndpointState.HEALTHY) {
                retired.add(m.endpoint().node());
            }
            entries.add(said);
            if (m.endpoint().state() == EndpointState.REMOVED) {
                members.remove(m.endpoint().node());
            }
        }
        return new News(entries, retired);
    }

    /** From now on just these nodes are left alone; the result is what has changed by it. */
    List<Endpoint> eject(Set<String> nodes) {
        Set<String> before = ejected;
        ejected = Set.copyOf(nodes);
        return members.values().stream().map(ResolvedEndpoint::endpoint)
            .filter(e -> before.contains(e.node()) != ejected.contains(e.node())).map(this::shown).toList();
    }
}
