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
 * The merged view of what all instances publish, this one included. Membership renews the entry of an alive owner, which
 * then need not be sent again. Other entries expire after the time to live; the version of an expired entry is kept, so that
 * no older copy restores it. Memory is bounded by {@code maxInstances} live and as many expired entries. Not thread-safe.
 */
public final class Digest {
    private static final Pattern SHARD_NUMBER = Pattern.compile("\\d{1,9}");

    private static final class CachedEntry {
        private final InstanceState state;
        /** Time of publication on this instance's clock, by the youngest copy received or the last renewal. */
        private double publishedAt;
        /** Whether membership has reported on the owner, so that the ages of copies are ignored. */
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
     * @param timeToLive milliseconds after which a state expires that is neither renewed nor published again
     * @param maxInstances entries that are kept; those of further instances are dropped
     */
    public Digest(String self, long epoch, double timeToLive, int maxInstances) {
        this.self = self;
        this.epoch = epoch;
        this.timeToLive = timeToLive;
        this.maxInstances = maxInstances;
    }

    /** Sets the epoch of this instance, whose state is then published again. */
    public void raiseEpoch(long to) {
        epoch = to;
        changed = true;
    }

    // ---------------------------------------------------------------- this instance's state

    /** Sets a value; returns whether it changed. Ignores a new key of a subject that has the maximum number of keys. */
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

    /** Makes a new version of this instance's state, and returns true, if a value changed or it is the first version. */
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

    /** The keys of a subject in the last committed version of this instance's state. */
    public Set<String> committedKeys(Subject subject) {
        CachedEntry entry = entries.get(self);
        return entry == null ? Set.of() : entry.state.values(subject).keySet();
    }

    // ---------------------------------------------------------------- merging

    /**
     * Merges states from other instances and returns those that are new here. The merge is the join of a semilattice: the
     * state with the higher epoch and version replaces the other as a whole, and the younger of two copies gives the age.
     */
    public List<InstanceState> merge(double now, List<InstanceState> received) {
        List<InstanceState> added = new ArrayList<>();
        for (InstanceState state : received) {
            if (state.instance().equals(self)) {
                adoptVersion(state);
            } else if (state.age() < timeToLive && merge(now, state)) {
                added.add(state);
            }
        }
        return added;
    }

    /** Continues from a higher version of this instance's own state, which an earlier process published in this epoch. */
    private void adoptVersion(InstanceState state) {
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

    /** Whether a newer state has expired here, or the same one while its owner was absent by membership. */
    private boolean isOutdated(InstanceState state) {
        CachedEntry past = expired.get(state.instance());
        return past != null
            && (past.state.supersedes(state) || past.followsMembership && !state.supersedes(past.state));
    }

    // ---------------------------------------------------------------- the owner's membership

    /**
     * Renews the state of an owner that is alive in this epoch: it counts as published now, and is restored if it had
     * expired. A state of an earlier epoch is not renewed.
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
     * Stops renewing the state of an owner that is not alive: it expires after the time to live, whatever the age of copies.
     */
    public void stopRenewing(String owner) {
        CachedEntry entry = entries.get(owner);
        if (entry != null) {
            entry.followsMembership = true;
        }
    }

    /** Removes the states that have passed their time to live; returns the names of their owners. */
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

    // ---------------------------------------------------------------- states to send

    /** The state of one instance that has not expired, or null. */
    public InstanceState state(String instance) {
        CachedEntry entry = entries.get(instance);
        return entry == null ? null : entry.state;
    }

    /** The newest state of one instance that was received, even if it has expired, or null. */
    public InstanceState latestState(String instance) {
        CachedEntry entry = entries.containsKey(instance) ? entries.get(instance) : expired.get(instance);
        return entry == null ? null : entry.state;
    }

    /** The state of one instance that has not expired, with its age, for sending; or null. */
    public InstanceState agedState(String instance, double now) {
        CachedEntry entry = entries.get(instance);
        if (entry == null) {
            return null;
        }
        return entry.state.withAge(instance.equals(self) ? 0 : Math.max(0, now - entry.publishedAt));
    }

    /**
     * Whether a state has a drain notice that neither its predecessor (or null) nor the state of another instance has, so
     * that all instances should learn of it at once.
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

    /** All states that have not expired, without their ages. */
    public List<InstanceState> states() {
        return entries.values().stream().map(entry -> entry.state).toList();
    }

    /** All states that have not expired, with their ages, for a full exchange. */
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

    /** Calls {@code reader} for each instance with its state and the state's age in milliseconds. */
    public void forEach(double now, BiConsumer<InstanceState, Double> reader) {
        entries.values().forEach(entry -> reader.accept(entry.state, Math.max(0, now - entry.publishedAt)));
    }
}
