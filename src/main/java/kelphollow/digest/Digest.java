package kelphollow.digest;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.regex.Pattern;

/**
 * The merged view of what all instances publish, this one included. An entry whose owner is present by membership is renewed
 * by that alone and need not be sent again; one whose owner is not expires after the time to live, and its version is
 * remembered, so that no older copy brings it back. For one thread. Memory: one entry an instance and one that expired,
 * {@code maxInstances} of each at most.
 */
public final class Digest {
    private static final Pattern SHARD_NUMBER = Pattern.compile("\\d{1,9}");

    private static final class CachedEntry {
        private final InstanceState state;
        /** When the instance published it, on this instance's clock; the latest that any copy of this version proves. */
        private double publishedAt;
        /** Whether membership speaks for the owner, so that the ages of copies prove nothing. */
        private boolean followsMembership;

        CachedEntry(InstanceState state, double publishedAt) {
            this.state = state;
            this.publishedAt = publishedAt;
        }
    }

    private final String self;
    private final double timeToLive;
    private final int maxInstances;
    private final Map<String, CachedEntry> entries = new TreeMap<>();
    private final Map<String, CachedEntry> expired = new LinkedHashMap<>();
    private final Map<Subject, Map<String, Double>> own = new EnumMap<>(Subject.class);
    private long epoch;
    private long version;
    private boolean changed = true;

    /**
     * @param timeToLive milliseconds for which a state counts that is neither renewed nor published again
     * @param maxInstances entries that are kept; those of further instances are dropped
     */
    public Digest(String self, long epoch, double timeToLive, int maxInstances) {
        this.self = self;
        this.epoch = epoch;
        this.timeToLive = timeToLive;
        this.maxInstances = maxInstances;
    }

    /** Goes on under another epoch; the own state is published again. */
    public void raiseEpoch(long to) {
        epoch = to;
        changed = true;
    }

    // ---------------------------------------------------------------- this instance's state

    /** Sets a value; returns whether it changed. A subject that has its most keys takes no further one. */
    public boolean publish(Subject subject, String key, double value) {
        Map<String, Double> values = own.get(subject);
        if (values != null && values.size() >= InstanceState.MAX_KEYS && !values.containsKey(key)) {
            return false;
        }
        Double before = own.computeIfAbsent(subject, s -> new HashMap<>()).put(key, value);
        boolean isNew = before == null || before != value;
        changed |= isNew;
        return isNew;
    }

    /** Removes a value; returns whether there was one. */
    public boolean withdraw(Subject subject, String key) {
        Map<String, Double> values = own.get(subject);
        boolean removed = values != null && values.remove(key) != null;
        if (removed && values.isEmpty()) {
            own.remove(subject);
        }
        changed |= removed;
        return removed;
    }

    /** Makes a new version of the own state if something changed; the first may be empty. Returns whether it did. */
    public boolean commit(double now) {
        if (!changed) {
            return false;
        }
        changed = false;
        Map<String, Map<String, Double>> subjects = new HashMap<>();
        own.forEach((subject, values) -> subjects.put(subject.wireName(), values));
        entries.put(self, new CachedEntry(new InstanceState(self, epoch, ++version, 0, subjects), now));
        return true;
    }

    /** The keys on a subject in the last committed version of the own state. */
    public Set<String> committedKeys(Subject subject) {
        CachedEntry entry = entries.get(self);
        return entry == null ? Set.of() : entry.state.values(subject).keySet();
    }

    // ---------------------------------------------------------------- merging

    /**
     * Takes states from other instances; returns those that are new here. The join of a semilattice: the state with the
     * higher epoch and version wins as a whole, and of two copies of one version the younger gives the age.
     */
    public List<InstanceState> merge(double now, List<InstanceState> received) {
        List<InstanceState> added = new ArrayList<>();
        for (InstanceState state : received) {
            if (state.instance().equals(self)) {
                continueFrom(state);
            } else if (state.age() < timeToLive && merge(now, state)) {
                added.add(state);
            }
        }
        return added;
    }

    /** A copy of the own state: one of this epoch from an earlier process means that versions go on from there. */
    private void continueFrom(InstanceState state) {
        if (state.epoch() == epoch && state.version() > version) {
            version = state.version();
            changed = true;
        }
    }

    private boolean merge(double now, InstanceState state) {
        double publishedAt = now - state.age();
        CachedEntry entry = entries.get(state.instance());
        if (entry == null && (entries.size() >= maxInstances || isOutdated(state))) {
            return false;
        }
        if (entry == null || state.supersedes(entry.state)) {
            entries.put(state.instance(), new CachedEntry(state, publishedAt));
            expired.remove(state.instance());
            return true;
        }
        if (!entry.followsMembership && !entry.state.supersedes(state)) {
            entry.publishedAt = Math.max(entry.publishedAt, publishedAt);
        }
        return false;
    }

    /** Whether a newer one has expired here, or this very one while its owner was absent by membership. */
    private boolean isOutdated(InstanceState state) {
        CachedEntry past = expired.get(state.instance());
        return past != null
            && (past.state.supersedes(state) || past.followsMembership && !state.supersedes(past.state));
    }

    // ---------------------------------------------------------------- the owner's membership

    /**
     * The owner is alive under this epoch: its state counts as published now, also one that had expired. A state of an
     * earlier epoch is not renewed.
     */
    public void renew(double now, String owner, long ownerEpoch) {
        CachedEntry past = expired.get(owner);
        if (past != null && past.state.epoch() >= ownerEpoch && entries.size() < maxInstances) {
            expired.remove(owner);
            entries.put(owner, past);
        }
        CachedEntry entry = entries.get(owner);
        if (entry != null && entry.state.epoch() >= ownerEpoch) {
            entry.publishedAt = Math.max(entry.publishedAt, now);
            entry.followsMembership = true;
        }
    }

    /**
     * The owner is suspected, dead or gone: its state expires from when it was last seen alive, whatever copies prove.
     */
    public void stopRenewing(String owner) {
        CachedEntry entry = entries.get(owner);
        if (entry != null) {
            entry.followsMembership = true;
        }
    }

    /** Removes what has passed its time to live; returns whose states those were. */
    public List<String> expire(double now) {
        List<String> owners = new ArrayList<>();
        entries.forEach((name, entry) -> {
            if (!isLive(name, entry, now)) {
                owners.add(name);
            }
        });
        for (String owner : owners) {
            expired.put(owner, entries.remove(owner));
            if (expired.size() > maxInstances) {
                expired.remove(expired.keySet().iterator().next());
            }
        }
        return owners;
    }

    private boolean isLive(String owner, CachedEntry entry, double now) {
        return owner.equals(self) || now - entry.publishedAt < timeToLive;
    }

    // ---------------------------------------------------------------- what is sent

    /** The state of one instance that counts here, or null. */
    public InstanceState state(String instance) {
        CachedEntry entry = entries.get(instance);
        return entry == null ? null : entry.state;
    }

    /** The newest state of one instance that was seen here, also an expired one, or null. */
    public InstanceState latestState(String instance) {
        CachedEntry entry = entries.containsKey(instance) ? entries.get(instance) : expired.get(instance);
        return entry == null ? null : entry.state;
    }

    /** The state of one instance that counts here with its age, as it is sent, or null. */
    public InstanceState agedState(String instance, double now) {
        CachedEntry entry = entries.get(instance);
        if (entry == null) {
            return null;
        }
        return entry.state.withAge(instance.equals(self) ? 0 : Math.max(0, now - entry.publishedAt));
    }

    /**
     * Whether a state has a drain notice that neither the state before it (or null) nor that of another instance has,
     * so that it should be known everywhere at once.
     */
    public boolean hasNewDrainNotice(InstanceState state, InstanceState before) {
        Map<String, Double> unknown = new HashMap<>(state.values(Subject.DRAIN));
        if (before != null) {
            unknown.entrySet().removeAll(before.values(Subject.DRAIN).entrySet());
        }
        for (CachedEntry entry : entries.values()) {
            if (unknown.isEmpty()) {
                return false;
            }
            if (!entry.state.instance().equals(state.instance())) {
                unknown.entrySet().removeAll(entry.state.values(Subject.DRAIN).entrySet());
            }
        }
        return !unknown.isEmpty();
    }

    /** All states that count here, without their ages. */
    public List<InstanceState> states() {
        return entries.values().stream().map(entry -> entry.state).toList();
    }

    /** All states with their ages, for a full exchange. */
    public List<InstanceState> snapshot(double now) {
        return entries.keySet().stream().map(name -> agedState(name, now)).toList();
    }

    // ---------------------------------------------------------------- reading

    private interface Reader {
        void read(String reporter, String key, double value);
    }

    /** Reads the live values on one subject, by reporter and key. */
    private void read(Subject subject, double now, Reader reader) {
        entries.forEach((reporter, entry) -> {
            if (isLive(reporter, entry, now)) {
                entry.state.values(subject).forEach((key, value) -> reader.read(reporter, key, value));
            }
        });
    }

    /** The live drain notices, this instance's included, by reporter and node. */
    public List<DrainNotice> drainNotices(double now) {
        List<DrainNotice> notices = new ArrayList<>();
        read(Subject.DRAIN, now, (reporter, node, startedAt) -> notices.add(new DrainNotice(reporter, node, startedAt)));
        return notices;
    }

    /** The live reports of unresponsive nodes, this instance's included, by reporter and node. */
    public List<UnresponsiveNodeReport> unresponsiveNodeReports(double now) {
        List<UnresponsiveNodeReport> reports = new ArrayList<>();
        read(Subject.UNRESPONSIVE_NODE, now,
            (reporter, node, attempts) -> reports.add(new UnresponsiveNodeReport(reporter, node, attempts)));
        return reports;
    }

    /**
     * The live overload reports, this instance's included, by reporter; those without a valid shard number are left out.
     */
    public List<OverloadReport> overloadReports(double now) {
        List<OverloadReport> reports = new ArrayList<>();
        read(Subject.OVERLOAD, now, (reporter, shard, weight) -> {
            if (SHARD_NUMBER.matcher(shard).matches()) {
                reports.add(new OverloadReport(reporter, Integer.parseInt(shard), weight));
            }
        });
        return reports;
    }

    /** Calls for each instance with its state and the state's age in milliseconds. */
    public void forEach(double now, BiConsumer<InstanceState, Double> reader) {
        entries.values().forEach(entry -> reader.accept(entry.state, Math.max(0, now - entry.publishedAt)));
    }
}
