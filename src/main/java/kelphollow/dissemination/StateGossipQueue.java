package kelphollow.dissemination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kelphollow.digest.Digest;
import kelphollow.digest.InstanceState;

/**
 * Changed states on their way (rumour mongering with counters, Demers and others 1987, section 1.4): each is
 * transmitted some multiple of log(n) times; urgent ones first, the least transmitted first. A newer state of the same
 * instance replaces the older. Of those that are not urgent at most {@link #MAX_ROUTINE} are queued, and the oldest is
 * dropped early: where that many change at once, comparisons move each state about once to each instance, and gossip
 * several times. For one thread.
 */
final class StateGossipQueue {
    /** Most changes that are queued and not urgent; some three datagrams' worth. */
    static final int MAX_ROUTINE = 32;

    // Transmissions of an urgent state beside those that grow with the size: of twenty members five leave one out now
    // and then.
    private static final int MIN_URGENT_TRANSMISSIONS = 3;

    private static final class GossipEntry {
        private final boolean urgent;
        private int transmissions;

        GossipEntry(boolean urgent) {
            this.urgent = urgent;
        }

        boolean isUrgent() {
            return urgent;
        }

        int transmissions() {
            return transmissions;
        }
    }

    private static final Comparator<Map.Entry<String, GossipEntry>> URGENT_THEN_LEAST_TRANSMITTED = Comparator
        .comparing((Map.Entry<String, GossipEntry> e) -> !e.getValue().isUrgent())
        .thenComparingInt(e -> e.getValue().transmissions());
    private final double urgentTransmissions;
    private final double routineTransmissions;
    private final Map<String, GossipEntry> queued = new LinkedHashMap<>();

    /** Both are multiples of the natural logarithm of the fleet's size. */
    StateGossipQueue(double urgentTransmissions, double routineTransmissions) {
        this.urgentTransmissions = urgentTransmissions;
        this.routineTransmissions = routineTransmissions;
    }

    /** Queues the current state of an instance; it stays urgent if the one before was and is still queued. */
    void add(String instance, boolean urgent) {
        GossipEntry before = queued.remove(instance);
        queued.put(instance, new GossipEntry(urgent || before != null && before.urgent));
        if (queued.size() > MAX_ROUTINE) {
            dropOldestRoutine();
        }
    }

    private void dropOldestRoutine() {
        List<String> routine = queued.entrySet().stream().filter(e -> !e.getValue().urgent).map(Map.Entry::getKey).toList();
        if (routine.size() > MAX_ROUTINE) {
            queued.remove(routine.get(0));
        }
    }

    /**
     * Another member sent a state that is queued here: that counts as a transmission, since it shows that the change
     * has gone round (the counter with feedback of section 1.4). Urgent ones are transmitted in full all the same.
     */
    void receivedDuplicate(String instance, int members) {
        GossipEntry entry = queued.get(instance);
        if (entry != null && !entry.urgent && ++entry.transmissions >= transmissionLimit(entry, members)) {
            queued.remove(instance);
        }
    }

    private double transmissionLimit(GossipEntry entry, int members) {
        double log = Math.log(members + 1.0);
        return entry.urgent ? MIN_URGENT_TRANSMISSIONS + Math.ceil(log * urgentTransmissions)
            : Math.ceil(log * routineTransmissions);
    }

    boolean isEmpty() {
        return queued.isEmpty();
    }

    boolean hasUrgent() {
        return queued.values().stream().anyMatch(GossipEntry::isUrgent);
    }

    /**
     * Up to {@code maxBytes} of states for one datagram, of the urgent ones or of all; each counts as transmitted once more.
     * One state always fits.
     */
    List<InstanceState> next(double now, Digest digest, int members, int maxBytes, boolean urgentOnly) {
        List<InstanceState> states = new ArrayList<>();
        List<Map.Entry<String, GossipEntry>> order = new ArrayList<>(queued.entrySet());
        order.sort(URGENT_THEN_LEAST_TRANSMITTED);           // stable: among equals the older one first
        int bytes = 0;
        for (Map.Entry<String, GossipEntry> e : order) {
            GossipEntry entry = e.getValue();
            if (urgentOnly && !entry.urgent) {
                break;
            }
            InstanceState state = digest.agedState(e.getKey(), now);
            if (state == null) {
                queued.remove(e.getKey());
                continue;
            }
            if (!states.isEmpty() && bytes + state.estimatedBytes() > maxBytes) {
                break;
            }
            states.add(state);
            bytes += state.estimatedBytes();
            if (++entry.transmissions >= transmissionLimit(entry, members)) {
                queued.remove(e.getKey());
            }
        }
        return states;
    }
}
