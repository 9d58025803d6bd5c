package kelphollow.membership;

import java.util.List;
import java.util.Locale;
import kelphollow.capacity.LineFit;
import kelphollow.capacity.Meter;
import kelphollow.membership.MembershipOutput.Kind;

/**
 * Measures membership alone by size on the simulated clock, without loss: datagrams, processor time and the time to detect
 * a failure. The processor time includes the simulation's own, so it is an upper bound:
 * {@code mvn -B -q -Pbench test-compile exec:exec@slopes}.
 */
public final class MembershipSlopes {
    private static final int[] SIZES = {20, 50, 100, 200, 510};
    private static final double SETTLE_MS = 8_000;
    private static final double MEASURED_MS = 3_000;
    private static final double DETECTION_MS = 10_000;
    private static final long SEED = 34;

    private MembershipSlopes() {}

    /** Simulates all sizes and prints the table with its fitted lines. */
    public static void main(String[] args) {
        System.out.println("| instances | datagrams a second and instance | share of a core an instance | all see a "
            + "death after ms "
            + "| false deaths |\n| --- | --- | --- | --- | --- |");
        double[] at = new double[SIZES.length];
        double[] datagrams = new double[SIZES.length];
        double[] cpuShare = new double[SIZES.length];
        double[] detection = new double[SIZES.length];
        for (int i = 0; i < SIZES.length; i++) {
            int size = SIZES[i];
            SimulatedFleet fleet = new SimulatedFleet(SEED, MembershipSettings.DEFAULTS);
            fleet.startAll(size);
            fleet.run(SETTLE_MS);
            long before = fleet.messages;
            Meter.Cost cost = Meter.median(0, 1, () -> fleet.run(SETTLE_MS + MEASURED_MS));
            at[i] = size;
            datagrams[i] = (fleet.messages - before) * 1_000.0 / MEASURED_MS / size;
            cpuShare[i] = cost.nanos() / 1e6 / MEASURED_MS / size * 100;
            fleet.kill("i4");
            double from = fleet.now;
            fleet.run(from + DETECTION_MS);
            List<SimulatedFleet.ObservedEvent> failures = fleet.events(Kind.FAILED, 0);
            detection[i] = failures.stream().filter(s -> s.subject().equals("i4")).mapToDouble(
                SimulatedFleet.ObservedEvent::at)
                .max()
                .orElse(Double.NaN) - from;
            long falseFailures = failures.stream().filter(s -> !s.subject().equals("i4")).count();
            System.out.printf(Locale.ROOT, "| %d | %.1f | %.3f%% | %.0f | %d |%n", size, datagrams[i], cpuShare[i],
                detection[i],
                falseFailures);
        }
        System.out.println(LineFit.through(at, datagrams).text("datagrams a second", "instances", "1/s"));
        System.out.println(LineFit.through(at, cpuShare).text("share of a core", "instances", "%"));
        System.out.println(LineFit.through(at, detection).text("all see a death", "instances", "ms"));
    }
}
