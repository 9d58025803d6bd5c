package kelphollow.fleet;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;

/**
 * Measures the cost and the delay of dissemination by size, for the previous version ({@code before}) and the current one
 * ({@code after}), on one simulated clock with a seed; prints one line per run. Arguments: the sizes, separated by commas;
 * {@code before}, {@code after} or {@code both}; keys per instance state; seconds between two changes of an instance (0: no
 * changes); loss; seconds of warm-up; seconds measured; the seed.
 */
public final class DisseminationFigures {
    private static final int DRAINS = 10;

    private DisseminationFigures() {}

    /** Runs the simulations; the class comment lists the arguments. */
    public static void main(String[] args) {
        int keys = Integer.parseInt(args[2]);
        double changeInterval = Double.parseDouble(args[3]) * 1_000;
        double loss = Double.parseDouble(args[4]);
        double warmUpMillis = Double.parseDouble(args[5]) * 1_000;
        double measuredMillis = Double.parseDouble(args[6]) * 1_000;
        long seed = Long.parseLong(args[7]);
        System.out.println("| size | way | fresh | membership B/s | parts | compare | exchange | all: mean | p99 | max"
            + " | drain in region p50 | p99 | across p50 | p99 | not kept | core |");
        for (String size : args[0].split(",")) {
            for (boolean before : new boolean[] {true, false}) {
                if (args[1].equals("both") || args[1].equals(before ? "before" : "after")) {
                    run(DisseminationWorld.Setup.of(Integer.parseInt(size), before)
                        .with(keys, changeInterval > 0 ? changeInterval : Double.POSITIVE_INFINITY), loss, warmUpMillis,
                        measuredMillis, seed);
                }
            }
        }
    }

    private static void run(DisseminationWorld.Setup setup, double loss, double warmUpMillis, double measuredMillis,
        long seed) {
        DisseminationWorld world = new DisseminationWorld(seed, setup);
        world.loss = loss;
        world.startFleet();
        world.run(warmUpMillis);
        world.clearCounters();
        long cpu = java.lang.management.ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        double fresh = 0;
        int samples = 0;
        for (double at = warmUpMillis + 1_000; at <= warmUpMillis + measuredMillis; at += 1_000) {
            world.run(at);
            if (world.drains.size() < DRAINS && at < warmUpMillis + measuredMillis - 8_000) {
                world.drain(DisseminationWorld.name((int) (world.drains.size() * 37L % setup.size())), "drained-"
                    + world.drains.size());
            }
            fresh += world.freshFraction();
            samples++;
        }
        cpu = java.lang.management.ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu;
        Map<DisseminationWorld.Kind, Double> kinds = world.bytesPerSecond(warmUpMillis);
        double[] totals = world.totals(warmUpMillis);
        double[] inRegion = world.drainDelays(true);
        double[] acrossRegions = world.drainDelays(false);
        long undelivered = java.util.stream.DoubleStream.concat(Arrays.stream(inRegion), Arrays.stream(acrossRegions))
            .filter(Double::isInfinite).count();
        System.out.printf(Locale.ROOT, "| %d | %s | %.4f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f"
            + " | %.0f | %.0f | %.0f | %.0f | %d | %.2f%% |%n", setup.size(), setup.previous() ? "before" : "after", fresh
                / samples,
            kinds.get(DisseminationWorld.Kind.MEMBERSHIP), kinds.get(DisseminationWorld.Kind.STATES),
            kinds.get(DisseminationWorld.Kind.COMPARISON), kinds.get(DisseminationWorld.Kind.EXCHANGE),
            Arrays.stream(totals).average().orElse(0), DisseminationWorld.percentile(totals, 0.99),
            DisseminationWorld.percentile(totals, 1), DisseminationWorld.percentile(inRegion, 0.5), DisseminationWorld
                .percentile(
                    inRegion, 0.99),
            DisseminationWorld.percentile(acrossRegions, 0.5), DisseminationWorld.percentile(acrossRegions, 0.99),
            undelivered,
            cpu / 1e4 / measuredMillis / setup.size());
    }
}
