package kelphollow.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kelphollow.decision.ControlApi.NodeEntry;
import kelphollow.decision.ControlApi.Phase;
import kelphollow.maintenance.Bans;

/**
 * The node list as it was last told, with addresses, and what is laid over it: the operators' bans, and the nodes that are
 * left alone by the word of other instances. A node that either names is shown as draining. For the core's event loop.
 */
final class NodeTable {
    /** What a list brings for the module, and the nodes whose resting connections must close. */
    record News(List<NodeEntry> entries, List<String> retired) {}

    private final Map<String, Member> members = new HashMap<>();
    private final Bans bans = new Bans();
    private Set<String> cordoned = Set.of();

    /** The node with its address, or null if no list names it. */
    Member member(String node) {
        return members.get(node);
    }

    Collection<Member> members() {
        return members.values();
    }

    Bans bans() {
        return bans;
    }

    /** The entry as the module sees it. */
    NodeEntry shown(NodeEntry e) {
        if (!bans.holds(e.node()) && !cordoned.contains(e.node()) || e.phase() != Phase.HEALTHY) {
            return e;
        }
        return new NodeEntry(e.node(), e.zone(), e.cell(), Phase.DRAINING, e.born());
    }

    /** Whether the node may have new work. */
    boolean wantsWork(String node) {
        Member m = members.get(node);
        return m != null && shown(m.entry()).phase() == Phase.HEALTHY;
    }

    /** Follows a list, changes only or all of it. */
    News learn(List<Member> news, boolean whole) {
        List<String> retired = new ArrayList<>();
        if (whole) {
            Map<String, Member> before = new HashMap<>(members);
            members.clear();
            news.forEach(m -> before.remove(m.entry().node()));
            retired.addAll(before.keySet());
        }
        List<NodeEntry> entries = new ArrayList<>();
        for (Member m : news) {
            Member old = members.put(m.entry().node(), m);
            boolean moved = old != null
                && (!old.address().equals(m.address()) || old.entry().born() != m.entry().born());
            NodeEntry said = shown(m.entry());
            if (moved || said.phase() != Phase.HEALTHY) {
                retired.add(m.entry().node());
            }
            entries.add(said);
            if (m.entry().phase() == Phase.GONE) {
                members.remove(m.entry().node());
            }
        }
        return new News(entries, retired);
    }

    /** From now on just these nodes are left alone; the result is what has changed by it. */
    List<NodeEntry> cordon(Set<String> nodes) {
        Set<String> before = cordoned;
        cordoned = Set.copyOf(nodes);
        return members.values().stream().map(Member::entry)
            .filter(e -> before.contains(e.node()) != cordoned.contains(e.node())).map(this::shown).toList();
    }
}
