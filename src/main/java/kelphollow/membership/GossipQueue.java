package kelphollow.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Member updates queued for gossip (SWIM section 4.1). Each is transmitted a multiple of log(n) times, the least transmitted
 * first. A newer update of a member replaces the older one, so that the queue holds at most one update per member.
 */
final class GossipQueue {
    private static final int TRANSMISSIONS_PER_LOG10 = 4;
    // Keeps rounding errors from lowering the ceiling where the logarithm is a whole number.
    private static final double LOG_MARGIN = 0.01;

    private static final class Entry {
        private final MemberUpdate update;
        private int transmissions;

        Entry(MemberUpdate update) {
            this.update = update;
        }
    }

    private final Map<String, Entry> queued = new LinkedHashMap<>();

    void add(MemberUpdate update) {
        queued.remove(update.name());
        queued.put(update.name(), new Entry(update));
    }

    /**
     * Counts an update that another member sent as a transmission if it is the first of its epoch (counter with feedback,
     * Demers and others 1987, section 1.4). Without this, hundreds of instances that start together would keep sending
     * updates that all of them know. Suspicions and refutations are always transmitted up to the limit.
     */
    void receivedDuplicate(MemberUpdate update, int members) {
        Entry entry = queued.get(update.name());
        if (entry != null && update.state() == MemberUpdate.State.ALIVE && update.incarnation() == 0
            && entry.update.equals(update) && ++entry.transmissions >= transmissionLimit(members)) {
            queued.remove(update.name());
        }
    }

    private static int transmissionLimit(int members) {
        return TRANSMISSIONS_PER_LOG10 * (int) Math.ceil(Math.log10(members + 1) + LOG_MARGIN);
    }

    boolean isEmpty() {
        return queued.isEmpty();
    }

    /** Up to {@code max} updates for one datagram, {@code first} (or null) ahead of all. */
    List<MemberUpdate> next(int max, int members, MemberUpdate first) {
        List<MemberUpdate> updates = new ArrayList<>();
        if (first != null) {
            updates.add(first);
        }
        int limit = transmissionLimit(members);
        List<Entry> leastTransmitted = new ArrayList<>(queued.values());
        leastTransmitted.sort(Comparator.comparingInt(e -> e.transmissions));   // stable: among equals the older one first
        for (Entry entry : leastTransmitted) {
            if (updates.size() >= max) {
                break;
            }
            if (first != null && entry.update.name().equals(first.name())) {
                continue;
            }
            updates.add(entry.update);
            if (++entry.transmissions >= limit) {
                queued.remove(entry.update.name());
            }
        }
        return updates;
    }
}
