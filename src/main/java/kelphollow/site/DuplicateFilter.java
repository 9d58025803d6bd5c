package kelphollow.site;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The remote side's register of unsafe requests, which runs each identity at most once and answers queries for its outcome.
 * A request that arrives twice runs once. A request that is queried before it arrives is fenced: the local site is told that
 * it never ran, so it must not run if it arrives late. Entries are evicted, since memory is bounded; an evicted request is
 * neither run again nor reported as never run, since the filter keeps the highest evicted number of each incarnation of a
 * gateway.
 *
 * <p>After a restart {@link #restore} loads the stored records; an intent without an outcome is unknown. A request without a
 * record never arrived. If the store has lost records, that holds only for numbers assigned since the gateway's first hello
 * to this incarnation. Confined to one event loop. Uses about 200 bytes per identity in addition to its outcome.
 */
public final class DuplicateFilter {
    /** How to handle an arriving request. */
    public enum Verdict {
        /** Run it: write its intent, and start it once the intent is synced. */
        RUN,
        /** It ran before: respond with the outcome that {@link #query} returns. */
        REPLAY,
        /** It is already running: do not run this copy, which gets the response of the first one. */
        IN_PROGRESS,
        /** Do not run it: it was fenced or evicted, or its outcome is unknown. */
        REJECT,
        /** Too many requests are running: it is not run now, nor later under this identity. */
        AT_CAPACITY
    }

    private enum State { RUNNING, RAN, NEVER_RAN, UNKNOWN }

    private static final class Entry {
        private State state;
        private byte[] outcome;
        private double endedAt;

        Entry(State state) {
            this.state = state;
        }
    }

    /** State of one incarnation of a gateway. */
    private static final class Incarnation {
        /** Numbers up to this one without an entry may have been evicted, or lost from the store. */
        private long evictedUpTo = -1;
        /** Whether its hello was received in this incarnation of the remote side. */
        private boolean hasReceivedHello;
    }

    private record Origin(String site, long epoch) {}

    private final int maxRunning;
    private final double window;
    private final boolean storeIsComplete;
    /** Ordered by end time; running entries by start time. */
    private final Map<RequestIdentity, Entry> entries = new LinkedHashMap<>();
    private final Map<Origin, Incarnation> incarnations = new HashMap<>();
    private final Map<String, Long> latestEpochs = new HashMap<>();
    private int running;

    /**
     * @param maxRunning maximum number of running requests; twice as many entries are kept, the earliest ended are evicted
     *     first
     * @param window how long an outcome is kept after the request's end, in milliseconds
     * @param storeIsComplete whether the store has lost nothing since it was created
     */
    public DuplicateFilter(int maxRunning, double window, boolean storeIsComplete) {
        this.maxRunning = maxRunning;
        this.window = window;
        this.storeIsComplete = storeIsComplete;
    }

    /** Restores a record of an earlier incarnation; {@code outcome} is null if only the intent was found. */
    public void restore(RequestIdentity identity, byte[] outcome, double now) {
        Entry entry = new Entry(outcome == null ? State.UNKNOWN : State.RAN);
        entry.outcome = outcome;
        entry.endedAt = now;
        entries.put(identity, entry);
        latestEpochs.merge(identity.site(), identity.epoch(), Math::max);
    }

    /**
     * Handles a gateway's hello on a new link, which replaces all its earlier links.
     *
     * @param nextNumber the first number that the gateway has not assigned yet
     * @return false if a hello of a later incarnation of that site was received before, so that this incarnation has ended
     */
    public boolean helloReceived(String site, long epoch, long nextNumber) {
        if (latestEpochs.getOrDefault(site, Long.MIN_VALUE) > epoch) {
            return false;
        }
        latestEpochs.put(site, epoch);
        Incarnation incarnation = incarnations.computeIfAbsent(new Origin(site, epoch), origin -> new Incarnation());
        if (!incarnation.hasReceivedHello && !storeIsComplete) {
            incarnation.evictedUpTo = Math.max(incarnation.evictedUpTo, nextNumber - 1);
        }
        incarnation.hasReceivedHello = true;
        return true;
    }

    private boolean mayHaveBeenEvicted(RequestIdentity identity) {
        Incarnation incarnation = incarnations.get(new Origin(identity.site(), identity.epoch()));
        if (incarnation == null) {
            return !storeIsComplete;
        }
        return identity.number() <= incarnation.evictedUpTo || !incarnation.hasReceivedHello && !storeIsComplete;
    }

    /** Handles an arriving request. For any verdict, the same identity never gets {@link Verdict#RUN} again. */
    public Verdict admit(RequestIdentity identity, double now) {
        Entry entry = entries.get(identity);
        if (entry != null) {
            return switch (entry.state) {
                case RAN -> Verdict.REPLAY;
                case RUNNING -> Verdict.IN_PROGRESS;
                case NEVER_RAN, UNKNOWN -> Verdict.REJECT;
            };
        }
        if (mayHaveBeenEvicted(identity) || identity.epoch() < latestEpochs.getOrDefault(identity.site(), Long.MIN_VALUE)) {
            return Verdict.REJECT;
        }
        if (running >= maxRunning) {
            fence(identity, now);        // the sender is told that it never ran, so a second copy must not run either
            return Verdict.AT_CAPACITY;
        }
        insert(identity, new Entry(State.RUNNING), now);
        running++;
        return Verdict.RUN;
    }

    /** Records that a request ran; {@code outcome} is the response for its client. */
    public void markRan(RequestIdentity identity, byte[] outcome, double now) {
        end(identity, State.RAN, outcome, now);
    }

    /** Records that a request never ran: its intent was not synced, or its attempt is proved not to have run. */
    public void markNeverRan(RequestIdentity identity, double now) {
        end(identity, State.NEVER_RAN, null, now);
    }

    /** Records that a request's attempt was interrupted and may have run. */
    public void markUnknown(RequestIdentity identity, double now) {
        end(identity, State.UNKNOWN, null, now);
    }

    private void end(RequestIdentity identity, State state, byte[] outcome, double now) {
        Entry entry = entries.remove(identity);
        if (entry == null) {
            return;
        }
        if (entry.state == State.RUNNING) {
            running--;
            entry.state = state;
            entry.outcome = outcome;
            entry.endedAt = now;
        }
        entries.put(identity, entry);
    }

    /** Returns the outcome of a request, and fences it if it has not arrived. */
    public OutcomeResponse query(RequestIdentity identity, double now) {
        Entry entry = entries.get(identity);
        if (entry == null) {
            if (mayHaveBeenEvicted(identity)) {
                return OutcomeResponse.UNKNOWN;
            }
            fence(identity, now);
            return OutcomeResponse.NEVER_RAN;
        }
        return switch (entry.state) {
            case RAN -> new OutcomeResponse(OutcomeResponse.Kind.RAN, entry.outcome);
            case RUNNING -> OutcomeResponse.RUNNING;
            case NEVER_RAN -> OutcomeResponse.NEVER_RAN;
            case UNKNOWN -> OutcomeResponse.UNKNOWN;
        };
    }

    private void fence(RequestIdentity identity, double now) {
        Entry fence = new Entry(State.NEVER_RAN);
        fence.endedAt = now;
        insert(identity, fence, now);
    }

    private void insert(RequestIdentity identity, Entry entry, double now) {
        evictExpired(now);
        Iterator<Map.Entry<RequestIdentity, Entry>> oldestFirst = entries.entrySet().iterator();
        while (entries.size() >= 2L * maxRunning && oldestFirst.hasNext()) {
            Map.Entry<RequestIdentity, Entry> oldest = oldestFirst.next();
            if (oldest.getValue().state != State.RUNNING) {
                evict(oldest.getKey());
                oldestFirst.remove();
            }
        }
        entries.put(identity, entry);
    }

    /** Evicts entries that ended more than the window ago; running entries stay. */
    public void evictExpired(double now) {
        Iterator<Map.Entry<RequestIdentity, Entry>> oldestFirst = entries.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<RequestIdentity, Entry> oldest = oldestFirst.next();
            if (oldest.getValue().state == State.RUNNING) {
                continue;
            }
            if (now - oldest.getValue().endedAt <= window) {
                return;
            }
            evict(oldest.getKey());
            oldestFirst.remove();
        }
    }

    private void evict(RequestIdentity identity) {
        Incarnation incarnation = incarnations.computeIfAbsent(new Origin(identity.site(), identity.epoch()),
            origin -> new Incarnation());
        incarnation.evictedUpTo = Math.max(incarnation.evictedUpTo, identity.number());
    }

    /** Returns the number of entries. */
    public int size() {
        return entries.size();
    }
}
