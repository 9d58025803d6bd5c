package kelphollow.lab.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Draws the faults of one run from a seed: each kind recurs at random times, so that faults overlap. The order of the kinds
 * and of the draws determines the faults of a seed, so both must stay as they are.
 */
final class SoakFaults {
    /** Whether a fault's target number is an instance or a node. */
    private enum Target { INSTANCE, NODE }

    /** Kind of fault. */
    enum Kind {
        /** SIGKILL; the process is restarted after the duration, with a list that is some versions old. */
        KILL(Target.INSTANCE),
        /** SIGTERM; the process is restarted once it has exited. */
        TERM(Target.INSTANCE),
        /** The process is stopped for up to 120 ms. */
        STALL(Target.INSTANCE),
        /** SIGHUP with a new discovery address. */
        MOVE(Target.INSTANCE),
        /** Two moves, the second after the duration of the fault. */
        MOVE_TWICE(Target.INSTANCE),
        /** Discovery is down. */
        DISCOVERY_DOWN(Target.INSTANCE),
        /** Discovery handles few calls per second. */
        DISCOVERY_SLOW(Target.INSTANCE),
        /** The open watch of an instance gets no more responses. */
        WATCH_SILENT(Target.INSTANCE),
        /** Discovery's responses to an instance are truncated. */
        RESPONSES_TRUNCATED(Target.INSTANCE),
        /** A node drains, is removed, and comes back warming up. */
        NODE_DRAINS(Target.NODE),
        /** A node dies, leaves the list late, and comes back elsewhere. */
        NODE_DIES(Target.NODE),
        /** A third of the nodes dies with a third of the instances; all come back. */
        ZONE_LOST(Target.INSTANCE),
        /** A node does not respond. */
        NODE_HANGS(Target.NODE),
        /** A node resets its connections. */
        NODE_RESETS(Target.NODE),
        /** A node replies with errors. */
        NODE_ERRS(Target.NODE),
        /** A node rejects all commands. */
        NODE_BUSY(Target.NODE),
        /** A node sends its replies in two segments. */
        NODE_SEGMENTS(Target.NODE);

        private final Target target;

        Kind(Target target) {
            this.target = target;
        }
    }

    /** One fault: its time, kind, target (the number of an instance or node) and duration; times in milliseconds. */
    record Step(double at, Kind kind, int target, double duration) {}

    private static final double FIRST_FAULT_MS = 1_500;
    private static final double FAULT_FREE_END_MS = 3_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private SoakFaults() {}

    /** Draws the faults of a run of this many seconds, sorted by time. */
    static List<Step> draw(long seed, double seconds, int instances, int nodes, boolean pushed) {
        Random random = new Random(seed);
        List<Kind> kinds = new ArrayList<>(List.of(Kind.values()));
        Collections.shuffle(kinds, random);
        if (pushed) {
            kinds.remove(Kind.DISCOVERY_SLOW);   // an agent on the same machine has a single caller
        }
        List<Step> steps = new ArrayList<>();
        for (Kind kind : kinds.subList(0, kinds.size() * 2 / 3)) {
            double mean = meanInterval(kind, instances);
            double at = FIRST_FAULT_MS + mean * random.nextDouble();
            while (at < seconds * MILLIS_PER_SECOND - FAULT_FREE_END_MS) {
                int target = random.nextInt(kind.target == Target.NODE ? nodes : instances);
                steps.add(new Step(at, kind, target, duration(kind, random)));
                at += mean * -Math.log(1 - random.nextDouble());
            }
        }
        steps.sort(Comparator.comparingDouble(Step::at));
        return steps;
    }

    private static double meanInterval(Kind kind, int instances) {
        return switch (kind) {
            case DISCOVERY_DOWN, DISCOVERY_SLOW, ZONE_LOST -> 14_000;
            case KILL, TERM, MOVE, MOVE_TWICE -> 4_000 * 10.0 / instances;
            default -> 2_500;
        };
    }

    private static double duration(Kind kind, Random random) {
        double part = random.nextDouble();
        return switch (kind) {
            case KILL -> 100 + 4_000 * part;
            case STALL -> 120 * part;
            case DISCOVERY_DOWN, DISCOVERY_SLOW -> 500 + 9_000 * part;
            case NODE_DRAINS, NODE_DIES -> 1_000 + 7_000 * part;
            case ZONE_LOST -> 3_000 + 4_000 * part;
            default -> 300 + 4_000 * part;
        };
    }
}
