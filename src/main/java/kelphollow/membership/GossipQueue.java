package kelphollow.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates on their way to the other members (SWIM section 4.1): each is transmitted some multiple of log(n) times, the least
 * transmitted first, and a newer one of the same member replaces the older. Holds at most one update a member.
 */
final class GossipQueue {
    private static final int TRANSMISSIONS_PER_LOG10 = 4;
    // Keeps the ceiling from falling short by rounding where the logarithm is a whole number.
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
     * Another member sent the same update: for the first update of an epoch that counts as a transmission (the counter with
     * feedback of Demers and others 1987, section 1.4), or hundreds that start together would long repeat what all know.
     * Suspicions and refutations are transmitted in full all the same.
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
