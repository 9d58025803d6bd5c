package kelphollow.membership;

import java.util.List;
import java.util.Locale;
import kelphollow.capacity.LineFit;
import kelphollow.capacity.Meter;
import kelphollow.membership.MembershipOutput.Kind;

/**
 * Membership alone by size on the simulation's clock, without loss: datagrams, processor time (the simulation's own
 * included, so
 * an upper bound), detection of a death: {@code mvn -B -q -Pbench test-compile exec:exec@slopes}.
 */
public final class MembershipSlopes {
    private static final int[] SIZES = {20, 50, 100, 200, 510};
    private static final double SETTLES = 8_000;
    private static final double MEASURED = 3_000;
    private static final double DETECTS = 10_000;
    private static final long SEED = 34;

    private MembershipSlopes() {}

    /** Plays all sizes and prints the figures with their fits. */
    public static void main(String[] args) {
        System.out.println("| instances | datagrams a second and instance | share of a core an instance | all see a "
            + "death after ms "
            + "| false deaths |\n| --- | --- | --- | --- | --- |");
        double[] at = new double[SIZES.length];
        double[] sent = new double[SIZES.length];
        double[] router = new double[SIZES.length];
        double[] found = new double[SIZES.length];
        for (int i = 0; i < SIZES.length; i++) {
            int size = SIZES[i];
            SimulatedFleet fleet = new SimulatedFleet(SEED, MembershipSettings.DEFAULTS);
            fleet.startAll(size);
            fleet.run(SETTLES);
            long before = fleet.messages;
            Meter.Cost cost = Meter.median(0, 1, () -> fleet.run(SETTLES + MEASURED));
            at[i] = size;
            sent[i] = (fleet.messages - before) * 1_000.0 / MEASURED / size;
            router[i] = cost.nanos() / 1e6 / MEASURED / size * 100;
            fleet.kill("i4");
            double from = fleet.now;
            fleet.run(from + DETECTS);
            List<SimulatedFleet.ObservedEvent> dead = fleet.events(Kind.FAILED, 0);
            found[i] = dead.stream().filter(s -> s.subject().equals("i4")).mapToDouble(SimulatedFleet.ObservedEvent::at)
                .max()
                .orElse(Double.NaN) - from;
            long wrong = dead.stream().filter(s -> !s.subject().equals("i4")).count();
            System.out.printf(Locale.ROOT, "| %d | %.1f | %.3f%% | %.0f | %d |%n", size, sent[i], router[i], found[i],
                wrong);
        }
        System.out.println(LineFit.through(at, sent).text("datagrams a second", "instances", "1/s"));
        System.out.println(LineFit.through(at, router).text("share of a core", "instances", "%"));
        System.out.println(LineFit.through(at, found).text("all see a death", "instances", "ms"));
    }
}
