package kelphollow.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What a fault costs and how long it is seen, a line a second, on one clock by seed. Arguments: {@code cold}, {@code
 * zone}, {@code rack} or {@code cut}; the size; {@code before} or {@code after}; seconds before the fault, seconds of
 * it (a cut), seconds after; the seed. In a cut each of three regions is told of a drain of its own.
 */
public final class FaultFigures {
    private static final int RACK = 20;

    private FaultFigures() {}

    /** Prints the figures; see the class. */
    public static void main(String[] args) {
        int size = Integer.parseInt(args[1]);
        double calm = seconds(args[3]);
        double fault = seconds(args[4]);
        double after = seconds(args[5]);
        DisseminationWorld world = new DisseminationWorld(Long.parseLong(args[6]),
            DisseminationWorld.Setup.of(size, args[2].equals("before")));
        System.out.println(
            "| second | fresh | right views | membership B/s | parts | compare | exchange | all: mean | max "
                + "| drains kept |");
        world.startFleet();
        if (args[0].equals("cold")) {
            play(world, after, "cold");
            return;
        }
        world.run(calm - 3_000);
        play(world, 3_000, "calm");
        if (args[0].equals("cut")) {
            world.connected = (from, to) -> DisseminationWorld.region(from) == DisseminationWorld.region(to);
            for (int i = 0; i < 3; i++) {
                world.drain(DisseminationWorld.name(i + 3), "drained-" + i);
            }
            play(world, fault, "cut");
            world.connected = (from, to) -> true;
            play(world, after, "healed");
            return;
        }
        List<String> gone = new ArrayList<>();
        for (String name : world.running.keySet()) {
            if (args[0].equals("zone") ? DisseminationWorld.zone(name) == 1 : gone.size() < RACK) {
                gone.add(name);
            }
        }
        gone.forEach(world::kill);
        play(world, after, args[0]);
    }

    private static double seconds(String text) {
        return Double.parseDouble(text) * 1_000;
    }

    private static void play(DisseminationWorld world, double millis, String phase) {
        double until = world.now + millis;
        while (world.now < until - 1e-6) {
            double since = world.now;
            world.clearCounters();
            world.run(since + 1_000);
            Map<DisseminationWorld.Kind, Double> kinds = world.bytesPerSecond(since);
            double[] totals = world.totals(since);
            long kept = Arrays.stream(world.drainDelays(null)).filter(Double::isFinite).count();
            System.out.printf(Locale.ROOT, "| %s %.0f | %.4f | %d | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %d |%n", phase,
                world.now / 1_000, world.freshFraction(), world.correctViews(), kinds.get(
                    DisseminationWorld.Kind.MEMBERSHIP),
                kinds.get(DisseminationWorld.Kind.STATES), kinds.get(DisseminationWorld.Kind.COMPARISON),
                kinds.get(DisseminationWorld.Kind.EXCHANGE), Arrays.stream(totals).average().orElse(0),
                totals[totals.length - 1], kept);
        }
    }
}
