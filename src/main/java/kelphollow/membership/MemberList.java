package kelphollow.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The last update of each other member, by name. Bounded by {@link MembershipSettings#maxMembers}: absent members are
 * evicted for new ones, present ones never.
 */
final class MemberList {
    private record Entry(MemberUpdate update, double since) {}

    private final MembershipContext context;
    private final Map<String, Entry> entries = new TreeMap<>();

    MemberList(MembershipContext context) {
        this.context = context;
    }

    /** The member's last update, or null if it is not known. */
    MemberUpdate get(String name) {
        Entry entry = entries.get(name);
        return entry == null ? null : entry.update;
    }

    /** Replaces a member's last update. */
    void put(MemberUpdate update) {
        entries.put(update.name(), new Entry(update, context.now()));
    }

    /** Makes room for one more member, evicting the one absent for longest if the list is full; false if all are present. */
    boolean ensureCapacity() {
        if (entries.size() < context.settings().maxMembers() - 1) {
            return true;
        }
        String oldest = null;
        for (Map.Entry<String, Entry> e : entries.entrySet()) {
            boolean absent = !e.getValue().update.isPresent();
            if (absent && (oldest == null || e.getValue().since < entries.get(oldest).since)) {
                oldest = e.getKey();
            }
        }
        return oldest != null && entries.remove(oldest) != null;
    }

    /** Whether a member counts as part of the fleet, suspects included. */
    boolean isPresent(String name) {
        Entry entry = entries.get(name);
        return entry != null && entry.update.isPresent();
    }

    /** Number of present members, this instance included. */
    int size() {
        int size = 1;
        for (Entry entry : entries.values()) {
            size += entry.update.isPresent() ? 1 : 0;
        }
        return size;
    }

    /** Sorted names of the present members. */
    List<String> present() {
        return entries.values().stream().filter(e -> e.update.isPresent()).map(e -> e.update.name()).toList();
    }

    /** Names of the present members but {@code excluded} (or null), in random order. */
    List<String> shuffledPresent(String excluded) {
        List<String> names = new ArrayList<>(present());
        names.remove(excluded);
        context.shuffle(names);
        return names;
    }

    /** Sorted names of the members that were declared dead. */
    List<String> dead() {
        return entries.values().stream().filter(e -> e.update.state() == MemberUpdate.State.DEAD).map(e -> e.update.name())
            .toList();
    }

    /** The last update of every member, sorted by name. */
    List<MemberUpdate> updates() {
        return entries.values().stream().map(Entry::update).toList();
    }

    /** All members, sorted by name. */
    List<MemberView> view() {
        return entries.values().stream().map(e -> new MemberView(e.update.name(), e.update.state(), e.update.epoch(),
            e.update.incarnation(), e.since, e.update.address())).toList();
    }
}
