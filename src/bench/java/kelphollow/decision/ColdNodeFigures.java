package kelphollow.decision;

import java.util.Locale;

/**
 * {@link SlowStartSimulation} of a node in slow start, at the sizes to come; the bounds of its test stay as they are:
 * {@code mvn -B -q -Pbench test-compile exec:exec@cold}.
 */
public final class ColdNodeFigures {
    private static final int[] INSTANCES = {20, 100, 510, 1_000};
    private static final double[] DEMANDS = {0.6, 1, 1.5};
    private static final int SEEDS = 2;

    private ColdNodeFigures() {}

    /** Plays all sizes and prints the figures with their fits. */
    public static void main(String[] args) {
        System.out.println("| instances | demand | most sent in a span, of what the rule bears | sent of what came |\n"
            + "| --- | --- | --- | --- |");
        for (int instances : INSTANCES) {
            for (double demand : DEMANDS) {
                double worst = 0;
                double served = 0;
                for (int seed = 0; seed < SEEDS; seed++) {
                    SlowStartSimulation.Result result = SlowStartSimulation.run(instances, demand, seed);
                    worst = Math.max(worst, result.worst());
                    served += result.served() / SEEDS;
                }
                System.out.printf(Locale.ROOT, "| %d | %.1f | %.2f | %.2f |%n", instances, demand, worst, served);
            }
        }
    }
}
