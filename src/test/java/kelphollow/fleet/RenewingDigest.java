package kelphollow.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import kelphollow.digest.InstanceState;
import kelphollow.digest.Subject;

/**
 * The digest of the previous version, in which membership did not renew states: each instance renews its state every half of
 * the time to live, and each state is transmitted four times. Kept for comparison, and to simulate an instance of the
 * previous version in a mixed fleet.
 */
final class RenewingDigest {
    // A state is fresh until it has been transmitted this many times; full exchanges carry all states.
    private static final int TRANSMISSIONS = 4;

    private static final class CachedEntry {
        private final InstanceState state;
        /** When the instance published it, on this instance's clock: the latest time that any received copy proves. */
        private double publishedAt;
        private int transmissions;

        CachedEntry(InstanceState state, double publishedAt) {
            this.state = state;
            this.publishedAt = publishedAt;
        }
    }

    private final String self;
    private final double timeToLive;
    private final int maxInstances;
    private final Map<String, CachedEntry> entries = new TreeMap<>();
    private final Map<String, Map<String, Double>> own = new HashMap<>();
    private long epoch;
    private long version;
    private boolean changed;
    private double committedAt = Double.NEGATIVE_INFINITY;

    /**
     * @param timeToLive milliseconds for which a state is valid unless it is published again
     * @param maxInstances maximum number of states; those of further instances are dropped
     */
    RenewingDigest(String self, long epoch, double timeToLive, int maxInstances) {
        this.self = self;
        this.epoch = epoch;
        this.timeToLive = timeToLive;
        this.maxInstances = maxInstances;
    }

    /** Continues under another epoch; this instance's state is published again. */
    void raiseEpoch(long to) {
        epoch = to;
        changed = true;
    }

    // ---------------------------------------------------------------- this instance's state

    /** Sets a value. Ignored if the key is new and the subject already has the maximum number of keys. */
    void publish(Subject subject, String key, double value) {
        Map<String, Double> values = own.computeIfAbsent(subject.wireName(), s -> new HashMap<>());
        if (values.size() < InstanceState.MAX_KEYS || values.containsKey(key)) {
            Double before = values.put(key, value);
            changed |= before == null || before != value;
        }
    }

    /** Removes a value. */
    void withdraw(Subject subject, String key) {
        Map<String, Double> values = own.get(subject.wireName());
        boolean removed = values != null && values.remove(key) != null;
        if (removed && values.isEmpty()) {
            own.remove(subject.wireName());
        }
        changed |= removed;
    }

    /** Publishes a new version of this instance's state if it changed or has reached half of its time to live. */
    boolean commit(double now) {
        if (!changed && now - committedAt < timeToLive / 2) {
            return false;
        }
        changed = false;
        committedAt = now;
        entries.put(self, new CachedEntry(new InstanceState(self, epoch, ++version, 0, own), now));
        return true;
    }

    // ---------------------------------------------------------------- merging

    /** Merges states from other instances; the state with the higher epoch and version replaces the other as a whole. */
    void merge(double now, List<InstanceState> received) {
        for (InstanceState state : received) {
            if (state.instance().equals(self)) {
                // Only this process publishes in this epoch, so its versions continue from the received one.
                if (state.epoch() == epoch && state.version() > version) {
                    version = state.version();
                    changed = true;
                }
            } else if (state.age() < timeToLive) {
                merge(now - state.age(), state);
            }
        }
    }

    private void merge(double publishedAt, InstanceState state) {
        CachedEntry entry = entries.get(state.instance());
        if (entry == null && entries.size() >= maxInstances) {
            return;
        }
        if (entry == null || state.supersedes(entry.state)) {
            entries.put(state.instance(), new CachedEntry(state, publishedAt));
        } else if (!entry.state.supersedes(state)) {
            entry.publishedAt = Math.max(entry.publishedAt, publishedAt);
        }
    }

    /** Removes states that have passed their time to live. */
    void expire(double now) {
        entries.entrySet().removeIf(e -> !e.getKey().equals(self) && now - e.getValue().publishedAt >= timeToLive);
    }

    // ---------------------------------------------------------------- what is sent

    /** Returns up to {@code max} fresh states, least transmitted first, and counts each as transmitted once more. */
    List<InstanceState> fresh(double now, int max) {
        List<CachedEntry> waiting = new ArrayList<>(entries.values());
        waiting.removeIf(entry -> entry.transmissions >= TRANSMISSIONS);
        waiting.sort((a, b) -> Integer.compare(a.transmissions, b.transmissions));
        List<InstanceState> states = new ArrayList<>();
        for (CachedEntry entry : waiting.subList(0, Math.min(max, waiting.size()))) {
            entry.transmissions++;
            states.add(entry.state.withAge(Math.max(0, now - entry.publishedAt)));
        }
        return states;
    }

    /** Whether {@link #fresh} has something to send. */
    boolean hasFresh() {
        return entries.values().stream().anyMatch(entry -> entry.transmissions < TRANSMISSIONS);
    }

    /** Returns all states with their ages, for a full exchange. */
    List<InstanceState> snapshot(double now) {
        return entries.values().stream().map(e -> e.state.withAge(Math.max(0, now - e.publishedAt))).toList();
    }

    /** Returns the state of one instance, or null. */
    InstanceState state(String instance) {
        CachedEntry entry = entries.get(instance);
        return entry == null ? null : entry.state;
    }
}
