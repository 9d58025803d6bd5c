package kelphollow.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * Measures how long a drain that one instance alone is notified of takes until each other one applies it. Those that never
 * do are counted, and are in the figures with the time that was waited for them: a lost drain must not make them better.
 * Thread-safe: instances report from their loops. Times are milliseconds.
 */
final class DrainProbes {
    /** How long a drain lasts before the notifier revokes it. */
    static final double DRAIN_DURATION_MILLIS = 10_000;
    /** Times are recorded in tenths of a millisecond. */
    private static final double UNIT = 0.1;
    private static final int DIGITS = 3;

    /** Whose times: of all instances, or of those in the notifier's region or out of it. */
    enum Reach {
        ALL, REGION, ACROSS
    }

    /** A drain that has lasted its time: which node, and which instance was notified of it. */
    record Ended(int node, int notifier) {}

    /** A drain; {@code waiting} are the instances that have not applied it yet. */
    private record Probe(int node, int notifier, double notifiedAt, BitSet waiting) {}

    private final ScaleScenario scenario;
    /** By the node's name. */
    private final Map<String, Probe> open = new HashMap<>();
    private final Histogram all = new Histogram(DIGITS);
    private final Histogram sameRegion = new Histogram(DIGITS);
    private final Histogram otherRegions = new Histogram(DIGITS);
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

    /** An instance ejects these nodes from now on. */
    synchronized void ejected(int instance, double now, Set<String> nodes) {
        open.forEach((node, probe) -> {
            if (probe.waiting.get(instance) && nodes.contains(node)) {
                probe.waiting.clear(instance);
                record(probe, instance, now);
            }
        });
    }

    private void record(Probe probe, int instance, double now) {
        long tenths = Math.round((now - probe.notifiedAt) / UNIT);
        all.recordValue(tenths);
        boolean isSameRegion = scenario.regionOf(instance) == scenario.regionOf(probe.notifier);
        (isSameRegion ? sameRegion : otherRegions).recordValue(tenths);
    }

    /** An instance that ended or was suspended applies nothing more, and what it was notified of may have ended with it. */
    synchronized void exclude(int instance) {
        open.values().removeIf(probe -> probe.notifier == instance);
        open.values().forEach(probe -> probe.waiting.clear(instance));
    }

    /** Ends drains that have lasted their time; at the end of the run those that have lasted half of it count too. */
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

    /** Instances that did not apply a drain, over all drains. */
    synchronized long missed() {
        return missed;
    }

    synchronized Map<String, Object> figures(Reach reach) {
        Histogram times = switch (reach) {
            case ALL -> all;
            case REGION -> sameRegion;
            case ACROSS -> otherRegions;
        };
        return Percentiles.of(times, UNIT);
    }
}
