package kelphollow.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import kelphollow.digest.InstanceState;

/**
 * The digest as it was before parts lived by their owner's membership: each part is renewed every half of {@code fades} and told
 * four times. Kept for the comparison before and after, and to play an instance of the version before in a mixed fleet.
 */
final class RenewingDigest {
    // Fresh parts are told to so many others before they rest; full exchanges carry all.
    private static final int TELLINGS = 4;

    private static final class Held {
        final InstanceState part;
        /** When the instance said it, on this instance's clock; the latest that any copy of this version proves. */
        double saidAt;
        int told;

        Held(InstanceState part, double saidAt) {
            this.part = part;
            this.saidAt = saidAt;
        }
    }

    private final String self;
    private final double fades;
    private final int mostInstances;
    private final Map<String, Held> parts = new TreeMap<>();
    private final Map<String, Map<String, Double>> own = new HashMap<>();
    private long epoch, version;
    private boolean changed;
    private double publishedAt = Double.NEGATIVE_INFINITY;

    /**
     * @param fades milliseconds after which what an instance said, and did not say again, counts no more
     * @param mostInstances parts that are held; those of further instances are passed over
     */
    RenewingDigest(String self, long epoch, double fades, int mostInstances) {
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

    /** Makes a new version of the own part if something changed, or if the last one has lived half of its time. */
    public boolean publish(double now) {
        if (!changed && now - publishedAt < fades / 2) {
            return false;
        }
        changed = false;
        publishedAt = now;
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
            if (held == null && parts.size() >= mostInstances) {
                continue;
            }
            if (held == null || part.replaces(held.part)) {
                parts.put(part.instance(), new Held(part, saidAt));
                news.add(part);
            } else if (!held.part.replaces(part)) {
                held.saidAt = Math.max(held.saidAt, saidAt);
            }
        }
        return news;
    }

    /** Drops what has faded; returns whose parts went. */
    public List<String> fade(double now) {
        List<String> gone = new ArrayList<>();
        parts.forEach((name, held) -> {
            if (!name.equals(self) && now - held.saidAt >= fades) gone.add(name);
        });
        gone.forEach(parts::remove);
        return gone;
    }

    // ---------------------------------------------------------------- telling

    /** Up to {@code most} parts that are fresh here, least told first; each counts as told once more. */
    public List<InstanceState> fresh(double now, int most) {
        List<Held> waiting = new ArrayList<>();
        parts.values().forEach(h -> {
            if (h.told < TELLINGS) waiting.add(h);
        });
        waiting.sort((a, b) -> Integer.compare(a.told, b.told));
        List<InstanceState> out = new ArrayList<>();
        for (Held h : waiting.subList(0, Math.min(most, waiting.size()))) {
            h.told++;
            out.add(h.part.aged(Math.max(0, now - h.saidAt)));
        }
        return out;
    }

    /** Whether {@link #fresh} has something to tell. */
    public boolean hasFresh() {
        return parts.values().stream().anyMatch(h -> h.told < TELLINGS);
    }

    /** All parts with their ages, for a full exchange. */
    public List<InstanceState> all(double now) {
        List<InstanceState> all = new ArrayList<>();
        parts.values().forEach(h -> all.add(h.part.aged(Math.max(0, now - h.saidAt))));
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

    InstanceState part(String instance) {
        Held held = parts.get(instance);
        return held == null ? null : held.part;
    }
}
