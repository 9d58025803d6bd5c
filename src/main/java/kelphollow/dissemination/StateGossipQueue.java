package kelphollow.dissemination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kelphollow.digest.Digest;
import kelphollow.digest.InstanceState;

/**
 * Changed states queued for gossip (rumour mongering with counters, Demers and others 1987, section 1.4). Each is
 * transmitted a multiple of log(n) times, urgent ones first, then the least transmitted. A newer state of an instance
 * replaces the older one. At most {@link #MAX_ROUTINE} states that are not urgent are queued, and the oldest is dropped:
 * when that many change at once, comparisons send each state about once to each instance, gossip several times. Not
 * thread-safe.
 */
final class StateGossipQueue {
    /** Maximum number of queued states that are not urgent, about three datagrams of them. */
    static final int MAX_ROUTINE = 32;

    // Transmissions of an urgent state in addition to those that grow with the size: with five in all, one of twenty members
    // was left out now and then.
    private static final int BASE_URGENT_TRANSMISSIONS = 3;

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

    /** Both parameters are multiples of the natural logarithm of the fleet's size. */
    StateGossipQueue(double urgentTransmissions, double routineTransmissions) {
        this.urgentTransmissions = urgentTransmissions;
        this.routineTransmissions = routineTransmissions;
    }

    /** Queues the current state of an instance. It is urgent too if it replaces an urgent one in the queue. */
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
     * Counts a queued state that another member sent as a transmission, since other members know it already (counter with
     * feedback, section 1.4). Urgent states are always transmitted up to the limit.
     */
    void receivedDuplicate(String instance, int members) {
        GossipEntry entry = queued.get(instance);
        if (entry != null && !entry.urgent && ++entry.transmissions >= transmissionLimit(entry, members)) {
            queued.remove(instance);
        }
    }

    private double transmissionLimit(GossipEntry entry, int members) {
        double log = Math.log(members + 1.0);
        return entry.urgent ? BASE_URGENT_TRANSMISSIONS + Math.ceil(log * urgentTransmissions)
            : Math.ceil(log * routineTransmissions);
    }

    boolean isEmpty() {
        return queued.isEmpty();
    }

    boolean hasUrgent() {
        return queued.values().stream().anyMatch(GossipEntry::isUrgent);
    }

    /**
     * States for one datagram, the urgent ones or all, up to {@code maxBytes}; counts a transmission of each. The first is
     * returned whatever its size.
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
