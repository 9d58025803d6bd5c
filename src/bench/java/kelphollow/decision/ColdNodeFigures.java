package kelphollow.decision;

import java.util.Locale;

/**
 * Runs {@link SlowStartSimulation} of a node in slow start at fleet sizes up to 1,000 instances; does not check the bounds
 * of its test: {@code mvn -B -q -Pbench test-compile exec:exec@cold}.
 */
public final class ColdNodeFigures {
    private static final int[] INSTANCES = {20, 100, 510, 1_000};
    private static final double[] DEMANDS = {0.6, 1, 1.5};
    private static final int SEEDS = 2;

    private ColdNodeFigures() {}

    /** Simulates all sizes and prints the table. */
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
