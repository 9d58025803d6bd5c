package kelphollow.fleet;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;

/**
 * The cost and the delay of dissemination by size, before and after, on one clock by seed: a line a run. Arguments: the
 * sizes, separated by commas; {@code before}, {@code after} or {@code both}; keys a part; seconds between an instance's
 * changes (0: none); loss; seconds of warming up; seconds measured; the seed.
 */
public final class DisseminationFigures {
    private static final int DRAINS = 10;

    private DisseminationFigures() {}

    /** Prints the figures; see the class. */
    public static void main(String[] args) {
        int keys = Integer.parseInt(args[2]);
        double change = Double.parseDouble(args[3]) * 1_000;
        double loss = Double.parseDouble(args[4]);
        double warm = Double.parseDouble(args[5]) * 1_000;
        double measured = Double.parseDouble(args[6]) * 1_000;
        long seed = Long.parseLong(args[7]);
        System.out.println("| size | way | fresh | membership B/s | parts | compare | exchange | all: mean | p99 | max"
            + " | drain in region p50 | p99 | across p50 | p99 | not kept | core |");
        for (String size : args[0].split(",")) {
            for (boolean before : new boolean[] {true, false}) {
                if (args[1].equals("both") || args[1].equals(before ? "before" : "after")) {
                    run(DisseminationWorld.Setup.of(Integer.parseInt(size), before)
                        .with(keys, change > 0 ? change : Double.POSITIVE_INFINITY), loss, warm, measured, seed);
                }
            }
        }
    }

    private static void run(DisseminationWorld.Setup setup, double loss, double warm, double measured, long seed) {
        DisseminationWorld world = new DisseminationWorld(seed, setup);
        world.loss = loss;
        world.startFleet();
        world.run(warm);
        world.clearCounters();
        long cpu = java.lang.management.ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        double fresh = 0;
        int looks = 0;
        for (double at = warm + 1_000; at <= warm + measured; at += 1_000) {
            world.run(at);
            if (world.drains.size() < DRAINS && at < warm + measured - 8_000) {
                world.drain(DisseminationWorld.name((int) (world.drains.size() * 37L % setup.size())), "drained-"
                    + world.drains.size());
            }
            fresh += world.freshFraction();
            looks++;
        }
        cpu = java.lang.management.ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu;
        Map<DisseminationWorld.Kind, Double> kinds = world.bytesPerSecond(warm);
        double[] totals = world.totals(warm);
        double[] in = world.drainDelays(true);
        double[] across = world.drainDelays(false);
        long lost = java.util.stream.DoubleStream.concat(Arrays.stream(in), Arrays.stream(across))
            .filter(Double::isInfinite).count();
        System.out.printf(Locale.ROOT, "| %d | %s | %.4f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f"
            + " | %.0f | %.0f | %.0f | %.0f | %d | %.2f%% |%n", setup.size(), setup.previous() ? "before" : "after", fresh
                / looks,
            kinds.get(DisseminationWorld.Kind.MEMBERSHIP), kinds.get(DisseminationWorld.Kind.STATES),
            kinds.get(DisseminationWorld.Kind.COMPARISON), kinds.get(DisseminationWorld.Kind.EXCHANGE),
            Arrays.stream(totals).average().orElse(0), DisseminationWorld.percentile(totals, 0.99),
            DisseminationWorld.percentile(totals, 1), DisseminationWorld.percentile(in, 0.5), DisseminationWorld.percentile(
                in, 0.99),
            DisseminationWorld.percentile(across, 0.5), DisseminationWorld.percentile(across, 0.99), lost,
            cpu / 1e4 / measured / setup.size());
    }
}
