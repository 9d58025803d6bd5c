package kelphollow.dissemination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kelphollow.digest.Digest;
import kelphollow.digest.InstanceState;

/**
 * Changed parts on their way (rumour mongering with counters, Demers and others 1987, section 1.4): each is told some
 * multiple of log(n) times and then rests; urgent ones first, the least told first. A newer one of the same instance takes
 * the place of the older. Of those that are not urgent at most {@link #MOST_ROUTINE} wait, the oldest resting early: where
 * that many change at once, comparisons move each part about once to each instance, and rumours several times. For one
 * thread.
 */
final class StateGossipQueue {
    /** Most changes that wait and are not urgent; some three datagrams' worth. */
    static final int MOST_ROUTINE = 32;

    // Tellings of an urgent part beside those that grow with the size: of twenty members five leave one out now and then.
    private static final int LEAST_URGENT = 3;

    private static final class Rumour {
        final boolean urgent;
        int told;

        Rumour(boolean urgent) {
            this.urgent = urgent;
        }
    }

    private static final Comparator<Map.Entry<String, Rumour>> ORDER = Comparator
        .comparing((Map.Entry<String, Rumour> e) -> !e.getValue().urgent).thenComparingInt(e -> e.getValue().told);
    private final double urgentTellings, routineTellings;
    private final Map<String, Rumour> waiting = new LinkedHashMap<>();

    /** Both are multiples of the natural logarithm of the fleet's size. */
    StateGossipQueue(double urgentTellings, double routineTellings) {
        this.urgentTellings = urgentTellings;
        this.routineTellings = routineTellings;
    }

    void add(String instance, boolean urgent) {
        Rumour before = waiting.remove(instance);
        waiting.put(instance, new Rumour(urgent || before != null && before.urgent));
        if (waiting.size() > MOST_ROUTINE) {
            dropOldestRoutine();
        }
    }

    private void dropOldestRoutine() {
        List<String> routine = new ArrayList<>();
        waiting.forEach((name, rumour) -> {
            if (!rumour.urgent) routine.add(name);
        });
        if (routine.size() > MOST_ROUTINE) {
            waiting.remove(routine.get(0));
        }
    }

    /**
     * Another told what waits here: that counts as a telling, since it shows that the rumour has gone round (the counter
     * with feedback of section 1.4). Urgent ones are told as often as they are due all the same.
     */
    void heardAgain(String instance, int members) {
        Rumour rumour = waiting.get(instance);
        if (rumour != null && !rumour.urgent && ++rumour.told >= enough(rumour, members)) {
            waiting.remove(instance);
        }
    }

    private double enough(Rumour rumour, int members) {
        double log = Math.log(members + 1.0);
        return rumour.urgent ? LEAST_URGENT + Math.ceil(log * urgentTellings) : Math.ceil(log * routineTellings);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    boolean hasUrgent() {
        return waiting.values().stream().anyMatch(r -> r.urgent);
    }

    /**
     * Up to so many bytes of parts for one datagram, of the urgent ones or of all; each counts as told once more. One part
     * always fits.
     */
    List<InstanceState> next(double now, Digest digest, int members, int mostBytes, boolean urgentOnly) {
        List<InstanceState> out = new ArrayList<>();
        if (waiting.isEmpty()) {
            return out;
        }
        List<Map.Entry<String, Rumour>> order = new ArrayList<>(waiting.entrySet());
        order.sort(ORDER);                              // stable: among equals the older one first
        int bytes = 0;
        for (Map.Entry<String, Rumour> e : order) {
            InstanceState part = digest.aged(e.getKey(), now);
            Rumour rumour = e.getValue();
            if (urgentOnly && !rumour.urgent) {
                break;
            }
            if (part != null && !out.isEmpty() && bytes + part.estimatedBytes() > mostBytes) {
                break;
            }
            if (part != null) {
                out.add(part);
                bytes += part.estimatedBytes();
            }
            if (part == null || ++rumour.told >= enough(rumour, members)) {
                waiting.remove(e.getKey());
            }
        }
        return out;
    }
}
