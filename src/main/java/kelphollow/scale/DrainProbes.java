package kelphollow.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * Measures how long a drain takes to reach every instance when only one is notified of it. Instances that never apply it are
 * counted as missed and recorded with the time waited for them; otherwise a lost drain would improve the percentiles.
 * Thread-safe: instances report from their event loops. Times are milliseconds.
 */
final class DrainProbes {
    /** How long a drain lasts before the notifier revokes it. */
    static final double DRAIN_DURATION_MILLIS = 10_000;
    /** Resolution of the histograms, in milliseconds. */
    private static final double UNIT_MILLIS = 0.1;
    private static final int SIGNIFICANT_DIGITS = 3;

    /** Selects the instances measured: all, those in the notifier's region, or those in other regions. */
    enum Reach {
        ALL, REGION, ACROSS
    }

    /** A drain to revoke: the drained node and the instance that was notified of the drain. */
    record Ended(int node, int notifier) {}

    /** A drain in progress; {@code waiting} holds the instances that have not applied it yet. */
    private record Probe(int node, int notifier, double notifiedAt, BitSet waiting) {}

    private final ScaleScenario scenario;
    /** Drains in progress by node name. */
    private final Map<String, Probe> open = new HashMap<>();
    private final Histogram all = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram sameRegion = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram otherRegions = new Histogram(SIGNIFICANT_DIGITS);
    private long notified;
    private long missed;

    DrainProbes(ScaleScenario scenario) {
        this.scenario = scenario;
    }

    /** @param waiting instances that are to apply the drain; changed from here on */
    synchronized void notified(int node, int notifier, double now, BitSet waiting) {
        notified++;
        open.put(SimulatedNodes.nodeName(node), new Probe(node, notifier, now, waiting));
    }

    /** Records that an instance ejects these nodes from now on. */
    synchronized void ejected(int instance, double now, Set<String> nodes) {
        open.forEach((node, probe) -> {
            if (probe.waiting.get(instance) && nodes.contains(node)) {
                probe.waiting.clear(instance);
                record(probe, instance, now);
            }
        });
    }

    private void record(Probe probe, int instance, double now) {
        long tenths = Math.round((now - probe.notifiedAt) / UNIT_MILLIS);
        all.recordValue(tenths);
        boolean isSameRegion = scenario.regionOf(instance) == scenario.regionOf(probe.notifier);
        (isSameRegion ? sameRegion : otherRegions).recordValue(tenths);
    }

    /**
     * Drops an instance that ended or was suspended: it applies no more drains, and a drain it was notified of may be lost
     * with it.
     */
    synchronized void exclude(int instance) {
        open.values().removeIf(probe -> probe.notifier == instance);
        open.values().forEach(probe -> probe.waiting.clear(instance));
    }

    /**
     * Ends the drains that have reached {@link #DRAIN_DURATION_MILLIS}. At the end of the run all drains end, and those that
     * have lasted less than half of it are left out of the figures.
     */
    synchronized List<Ended> endExpired(double now, boolean last) {
        List<Ended> ended = new ArrayList<>();
        for (Probe probe : List.copyOf(open.values())) {
            double lasted = now - probe.notifiedAt;
            if (lasted >= DRAIN_DURATION_MILLIS || last) {
                open.remove(SimulatedNodes.nodeName(probe.node));
                ended.add(new Ended(probe.node, probe.notifier));
                if (lasted >= DRAIN_DURATION_MILLIS / 2) {
                    missed += probe.waiting.cardinality();
                    probe.waiting.stream().forEach(instance -> record(probe, instance, now));
                }
            }
        }
        return ended;
    }

    /** Number of drains. */
    synchronized long notified() {
        return notified;
    }

    /** Number of instances that did not apply a drain, summed over all drains. */
    synchronized long missed() {
        return missed;
    }

    synchronized Map<String, Object> figures(Reach reach) {
        Histogram times = switch (reach) {
            case ALL -> all;
            case REGION -> sameRegion;
            case ACROSS -> otherRegions;
        };
        return Percentiles.of(times, UNIT_MILLIS);
    }
}
