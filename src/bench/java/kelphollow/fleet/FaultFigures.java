package kelphollow.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Measures the traffic of a fault and the duration of its effects on one simulated clock with a seed; prints one line per
 * second. Arguments: the fault, {@code cold}, {@code zone}, {@code rack} or {@code cut}; the size; {@code before} (previous
 * version) or {@code after}; seconds before the fault, seconds of the fault (only for {@code cut}), seconds after it; the
 * seed. During a cut each of three regions starts a drain of its own.
 */
public final class FaultFigures {
    private static final int RACK_SIZE = 20;

    private FaultFigures() {}

    /** Runs the simulation; the class comment lists the arguments. */
    public static void main(String[] args) {
        int size = Integer.parseInt(args[1]);
        double beforeMillis = parseSeconds(args[3]);
        double faultMillis = parseSeconds(args[4]);
        double afterMillis = parseSeconds(args[5]);
        DisseminationWorld world = new DisseminationWorld(Long.parseLong(args[6]),
            DisseminationWorld.Setup.of(size, args[2].equals("before")));
        System.out.println(
            "| second | fresh | right views | membership B/s | parts | compare | exchange | all: mean | max "
                + "| drains kept |");
        world.startFleet();
        if (args[0].equals("cold")) {
            simulate(world, afterMillis, "cold");
            return;
        }
        world.run(beforeMillis - 3_000);
        simulate(world, 3_000, "calm");
        if (args[0].equals("cut")) {
            world.connected = (from, to) -> DisseminationWorld.region(from) == DisseminationWorld.region(to);
            for (int i = 0; i < 3; i++) {
                world.drain(DisseminationWorld.name(i + 3), "drained-" + i);
            }
            simulate(world, faultMillis, "cut");
            world.connected = (from, to) -> true;
            simulate(world, afterMillis, "healed");
            return;
        }
        List<String> stopped = new ArrayList<>();
        for (String name : world.running.keySet()) {
            if (args[0].equals("zone") ? DisseminationWorld.zone(name) == 1 : stopped.size() < RACK_SIZE) {
                stopped.add(name);
            }
        }
        stopped.forEach(world::kill);
        simulate(world, afterMillis, args[0]);
    }

    private static double parseSeconds(String text) {
        return Double.parseDouble(text) * 1_000;
    }

    private static void simulate(DisseminationWorld world, double millis, String phase) {
        double until = world.now + millis;
        while (world.now < until - 1e-6) {
            double since = world.now;
            world.clearCounters();
            world.run(since + 1_000);
            Map<DisseminationWorld.Kind, Double> kinds = world.bytesPerSecond(since);
            double[] totals = world.totals(since);
            long keptDrains = Arrays.stream(world.drainDelays(null)).filter(Double::isFinite).count();
            System.out.printf(Locale.ROOT, "| %s %.0f | %.4f | %d | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %d |%n", phase,
                world.now / 1_000, world.freshFraction(), world.correctViews(), kinds.get(
                    DisseminationWorld.Kind.MEMBERSHIP),
                kinds.get(DisseminationWorld.Kind.STATES), kinds.get(DisseminationWorld.Kind.COMPARISON),
                kinds.get(DisseminationWorld.Kind.EXCHANGE), Arrays.stream(totals).average().orElse(0),
                totals[totals.length - 1], keptDrains);
        }
    }
}
