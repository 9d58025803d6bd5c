package kelphollow.digest;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * The merged view of what all instances say, this one's own part included. A part whose owner is known to live is
 * renewed by that alone and need not be told again; one whose owner does not fades, and its version is remembered, so
 * that no older copy brings it back. For one thread. Memory: one part an instance and one that faded,
 * {@code mostInstances} of each at most.
 */
public final class Digest {
    private static final class Held {
        final InstanceState part;
        /** When the instance said it, on this instance's clock; the latest that any copy of this version proves. */
        double saidAt;
        /** Whether membership speaks for the owner, so that the ages of copies say nothing. */
        boolean followed;

        Held(InstanceState part, double saidAt) {
            this.part = part;
            this.saidAt = saidAt;
        }
    }

    private final String self;
    private final double fades;
    private final int mostInstances;
    private final Map<String, Held> parts = new TreeMap<>();
    private final Map<String, Held> faded = new LinkedHashMap<>();
    private final Map<String, Map<String, Double>> own = new HashMap<>();
    private long epoch, version;
    private boolean changed = true;

    /**
     * @param fades milliseconds after which what an instance said, and did not say again, counts no more
     * @param mostInstances parts that are held; those of further instances are passed over
     */
    public Digest(String self, long epoch, double fades, int mostInstances) {
        this.self = self;
        this.epoch = epoch;
        this.fades = fades;
        this.mostInstances = mostInstances;
    }

    /** Goes on under another epoch; what was said is said again. */
    public void raise(long to) {
        epoch = to;
        changed = true;
    }

    // ---------------------------------------------------------------- own part

    /** Says a figure; returns whether it is news. A subject that is full takes no further key. */
    public boolean say(String subject, String key, double figure) {
        Map<String, Double> figures = own.get(subject);
        if (figures == null ? own.size() >= InstanceState.MOST_SUBJECTS
            : figures.size() >= InstanceState.MOST_KEYS && !figures.containsKey(key)) {
            return false;
        }
        Double before = own.computeIfAbsent(subject, s -> new HashMap<>()).put(key, figure);
        boolean news = before == null || before != figure;
        changed |= news;
        return news;
    }

    /** Takes a figure back; returns whether it had been said. */
    public boolean unsay(String subject, String key) {
        Map<String, Double> figures = own.get(subject);
        boolean news = figures != null && figures.remove(key) != null;
        if (news && figures.isEmpty()) {
            own.remove(subject);
        }
        changed |= news;
        return news;
    }

    /** Makes a new version of the own part if something changed; the first may be empty. */
    public boolean publish(double now) {
        if (!changed) {
            return false;
        }
        changed = false;
        parts.put(self, new Held(new InstanceState(self, epoch, ++version, 0, own), now));
        return true;
    }

    // ---------------------------------------------------------------- merging

    /**
     * Takes what came from others; returns the parts that are new here. The join of a semilattice: the part with the
     * higher epoch and version wins whole, and of two copies of one version the younger tells its age.
     */
    public List<InstanceState> merge(double now, List<InstanceState> told) {
        List<InstanceState> news = new ArrayList<>();
        for (InstanceState part : told) {
            if (part.instance().equals(self)) {
                // An earlier process of this life's epoch can only be this one: its versions go on from there.
                if (part.epoch() == epoch && part.version() > version) {
                    version = part.version();
                    changed = true;
                }
                continue;
            }
            double saidAt = now - part.age();
            if (part.age() >= fades) {
                continue;
            }
            Held held = parts.get(part.instance());
            if (held == null && (parts.size() >= mostInstances || isPast(part))) {
                continue;
            }
            if (held == null || part.replaces(held.part)) {
                parts.put(part.instance(), new Held(part, saidAt));
                faded.remove(part.instance());
                news.add(part);
            } else if (!held.followed && !held.part.replaces(part)) {
                held.saidAt = Math.max(held.saidAt, saidAt);
            }
        }
        return news;
    }

    /** Whether a newer one has faded here, or this very one while membership held its owner for gone. */
    private boolean isPast(InstanceState part) {
        Held before = faded.get(part.instance());
        return before != null && (before.part.replaces(part) || before.followed && !part.replaces(before.part));
    }

    // ---------------------------------------------------------------- the owner's membership

    /**
     * The owner lives under this epoch: its part counts from now on as said anew, also one that had faded. What it said in
     * an earlier life is not renewed.
     */
    public void renew(double now, String owner, long underEpoch) {
        Held back = faded.get(owner);
        if (back != null && back.part.epoch() >= underEpoch && parts.size() < mostInstances) {
            faded.remove(owner);
            parts.put(owner, back);
        }
        Held held = parts.get(owner);
        if (held != null && held.part.epoch() >= underEpoch) {
            held.saidAt = Math.max(held.saidAt, now);
            held.followed = true;
        }
    }

    /** The owner is suspected, dead or gone: its part fades from when it was last seen alive, whatever copies say. */
    public void lapse(String owner) {
        Held held = parts.get(owner);
        if (held != null) {
            held.followed = true;
        }
    }

    /** Drops what has faded; returns whose parts went. */
    public List<String> fade(double now) {
        List<String> gone = new ArrayList<>();
        parts.forEach((name, held) -> {
            if (!name.equals(self) && now - held.saidAt >= fades) gone.add(name);
        });
        for (String name : gone) {
            faded.put(name, parts.remove(name));
            if (faded.size() > mostInstances) {
                faded.remove(faded.keySet().iterator().next());
            }
        }
        return gone;
    }

    // ---------------------------------------------------------------- telling

    /** The part of one instance that counts here, or null. */
    public InstanceState part(String instance) {
        Held held = parts.get(instance);
        return held == null ? null : held.part;
    }

    /** The newest part of one instance that this one has seen, also if it has faded, or null. */
    public InstanceState newest(String instance) {
        Held held = parts.containsKey(instance) ? parts.get(instance) : faded.get(instance);
        return held == null ? null : held.part;
    }

    /** The part of one instance that counts here with its age, for telling it, or null. */
    public InstanceState aged(String instance, double now) {
        Held held = parts.get(instance);
        return held == null ? null : held.part.aged(instance.equals(self) ? 0 : Math.max(0, now - held.saidAt));
    }

    /**
     * Whether a part names a drain that neither the part before it nor one of another instance names, so that it should be
     * known everywhere at once.
     */
    public boolean tellsNewDrain(InstanceState part, InstanceState before) {
        Map<String, Double> unknown = new HashMap<>(part.subjects().getOrDefault(DrainNotices.SUBJECT, Map.of()));
        if (unknown.isEmpty()) {
            return false;
        }
        if (before != null) {
            unknown.entrySet().removeAll(before.subjects().getOrDefault(DrainNotices.SUBJECT, Map.of()).entrySet());
        }
        for (Held held : parts.values()) {
            if (unknown.isEmpty()) {
                return false;
            }
            if (!held.part.instance().equals(part.instance())) {
                unknown.entrySet().removeAll(held.part.subjects().getOrDefault(DrainNotices.SUBJECT, Map.of()).entrySet());
            }
        }
        return !unknown.isEmpty();
    }

    /** All parts with their ages, for a full exchange. */
    public List<InstanceState> all(double now) {
        List<InstanceState> all = new ArrayList<>();
        parts.keySet().forEach(name -> all.add(aged(name, now)));
        return all;
    }

    // ---------------------------------------------------------------- reading

    /** What each instance says on a subject, by instance; parts that have faded are left out. */
    public Map<String, Map<String, Double>> on(String subject, double now) {
        Map<String, Map<String, Double>> said = new LinkedHashMap<>();
        parts.forEach((name, held) -> {
            Map<String, Double> figures = held.part.subjects().get(subject);
            if (figures != null && (name.equals(self) || now - held.saidAt < fades)) said.put(name, figures);
        });
        return said;
    }

    /** Calls for each instance with its part's age, for a page that operators read. */
    public void each(double now, BiConsumer<InstanceState, Double> reader) {
        parts.values().forEach(h -> reader.accept(h.part, Math.max(0, now - h.saidAt)));
    }
}
