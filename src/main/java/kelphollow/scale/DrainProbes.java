package kelphollow.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * Measures how long a drain that one instance alone is told takes until each other one keeps it. Those that never do are
 * counted, and stand in the figures with the time that was waited for them: a lost drain must not make them better. Safe for
 * any thread: instances report from their loops.
 */
final class DrainProbes {
    /** How long a drain stands before the teller takes it back, in milliseconds. */
    static final double STANDS = 10_000;
    // Times are recorded in tenths of a millisecond.
    private static final double UNIT = 0.1;
    private static final int DIGITS = 3;

    private static final class Probe {
        final int node, teller;
        final double toldAt;
        final BitSet waiting;

        Probe(int node, int teller, double toldAt, BitSet waiting) {
            this.node = node;
            this.teller = teller;
            this.toldAt = toldAt;
            this.waiting = waiting;
        }
    }

    private final ScaleScenario scenario;
    private final Map<String, Probe> open = new HashMap<>();
    private final Histogram all = new Histogram(DIGITS), within = new Histogram(DIGITS), across = new Histogram(DIGITS);
    private long told, missed;

    DrainProbes(ScaleScenario scenario) {
        this.scenario = scenario;
    }

    /** @param waiting instances that are to keep the drain */
    synchronized void told(int node, int teller, double now, BitSet waiting) {
        told++;
        open.put(SimulatedNodes.nodeName(node), new Probe(node, teller, now, waiting));
    }

    synchronized void ejected(int instance, double now, Set<String> nodes) {
        open.forEach((node, probe) -> {
            if (probe.waiting.get(instance) && nodes.contains(node)) {
                probe.waiting.clear(instance);
                record(probe, instance, now);
            }
        });
    }

    private void record(Probe probe, int instance, double now) {
        long tenths = Math.round((now - probe.toldAt) / UNIT);
        all.recordValue(tenths);
        (scenario.regionOf(instance) == scenario.regionOf(probe.teller) ? within : across).recordValue(tenths);
    }

    /** Instances that ended or stopped owe nothing more, and what they were told may have ended with them. */
    synchronized void excuse(int instance) {
        open.values().removeIf(p -> p.teller == instance);
        open.values().forEach(p -> p.waiting.clear(instance));
    }

    /** A drain that has stood its time: which node, and who told it. */
    record Ended(int node, int teller) {}

    /** Ends what has stood its time; at the end of the run all that has stood half of it, and the rest is forgotten. */
    synchronized List<Ended> end(double now, boolean last) {
        List<Ended> ended = new ArrayList<>();
        for (Probe p : List.copyOf(open.values())) {
            double stood = now - p.toldAt;
            if (stood >= STANDS || last) {
                open.remove(SimulatedNodes.nodeName(p.node));
                ended.add(new Ended(p.node, p.teller));
                if (stood >= STANDS / 2) {
                    missed += p.waiting.cardinality();
                    p.waiting.stream().forEach(i -> record(p, i, now));
                }
            }
        }
        return ended;
    }

    synchronized long told() {
        return told;
    }

    /** Instances that did not keep a drain, over all drains. */
    synchronized long missed() {
        return missed;
    }

    synchronized Map<String, Object> figures(Reach reach) {
        return Percentiles.of(reach == Reach.ALL ? all : reach == Reach.REGION ? within : across, UNIT);
    }

    /** Whose times: of all instances, or of those in the teller's region or out of it. */
    enum Reach { ALL, REGION, ACROSS }
}
