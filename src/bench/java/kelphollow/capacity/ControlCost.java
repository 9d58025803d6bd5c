package kelphollow.capacity;

import java.util.Locale;
import kelphollow.capacity.ControlReplay.Shape;
import kelphollow.capacity.ControlReplay.Timers;
import kelphollow.decision.Control;

/**
 * Measures processor time and allocation per request and the retained memory of the decision module by the number of
 * nodes, volumes, held requests and cold nodes: {@code mvn -B -q -Pbench test-compile exec:exec@control}. The measured
 * time covers {@code Control.on} only.
 */
public final class ControlCost {
    private static final long SEED = 34;
    private static final int REQUESTS = 4_000;
    private static final int WARM_UPS = 1;
    private static final int RUNS = 3;
    private static final double[] RATES = {20, 100, 200, 400, 843};
    private static final int[] SECONDS = {1, 2, 4};
    // With more requests the simulation that fires every timer takes minutes.
    private static final int MAX_TIMED_REQUESTS = 1_700;
    private static final int[] NODES = {10, 20, 50, 100, 200, 510, 1_000};
    private static final int[] VOLUMES = {100, 200, 510, 1_000, 5_000, 20_000};
    private static final int[] HELD = {0, 100, 200, 500, 1_000, 5_000};
    private static final int[] COLD = {0, 10, 50, 167};
    private static final int TARGET_NODES = 1_000;
    private static final int DEFAULT_VOLUMES = 1_000;
    private static final int DEFAULT_NODES = 100;

    private ControlCost() {}

    private interface ShapeBySize {
        Shape of(int size);
    }

    /** Measures all sizes and prints the tables with their fitted lines. */
    public static void main(String[] args) {
        printTable("nodes", NODES, n -> shape(n, DEFAULT_VOLUMES, 0, 0));
        printTable("volumes", VOLUMES, v -> shape(DEFAULT_NODES, v, 0, 0));
        printTable("held requests", HELD, h -> shape(DEFAULT_NODES, DEFAULT_VOLUMES, h, 0));
        printTable("cold nodes", COLD, c -> shape(TARGET_NODES, DEFAULT_VOLUMES, 0, c));
        printSilentNodes();
        printTimers();
    }

    private static Shape shape(int nodes, int volumes, int held, int cold) {
        return new Shape(ControlReplay.TARGET_RATE, nodes, volumes, held, cold, REQUESTS, Timers.ONE);
    }

    /** Each timer that fires may set the next one, so their number grows while due times lie less than a tick apart. */
    private static void printTimers() {
        System.out.printf("%n| requests a second | seconds played | timers a request, each as asked | one at a time |%n"
            + "| --- | --- | --- | --- |%n");
        for (double rate : RATES) {
            for (int seconds : SECONDS) {
                int requests = (int) (rate * seconds);
                if (requests > MAX_TIMED_REQUESTS) {
                    continue;
                }
                System.out.printf(Locale.ROOT, "| %.0f | %d | %.1f | %.1f |%n", rate, seconds,
                    new ControlReplay(new Shape(rate, 10, DEFAULT_VOLUMES, 0, 0, requests, Timers.AS_ASKED), SEED)
                        .timersPerRequest(),
                    new ControlReplay(new Shape(rate, 10, DEFAULT_VOLUMES, 0, 0, requests, Timers.ONE), SEED)
                        .timersPerRequest());
            }
        }
    }

    private static void printTable(String name, int[] sizes, ShapeBySize shape) {
        System.out.printf("%n| %s | us a request | bytes allocated a request | events a request | timers a request | KB "
            + "kept |%n"
            + "| --- | --- | --- | --- | --- | --- |%n", name);
        double[] at = new double[sizes.length];
        double[] micros = new double[sizes.length];
        double[] kept = new double[sizes.length];
        for (int i = 0; i < sizes.length; i++) {
            ControlReplay replay = new ControlReplay(shape.of(sizes[i]), SEED);
            Meter.Cost cost = Meter.median(WARM_UPS, RUNS, () -> replay.replay(SEED));
            at[i] = sizes[i];
            micros[i] = cost.nanos() / 1e3 / REQUESTS;
            kept[i] = Meter.retained(() -> replay.replay(SEED)) / 1e3;
            System.out.printf(Locale.ROOT, "| %d | %.1f | %.0f | %.2f | %.2f | %.0f |%n", sizes[i], micros[i],
                cost.bytes() / REQUESTS,
                replay.eventsPerRequest(), replay.timersPerRequest(), kept[i]);
        }
        System.out.println(LineFit.through(at, micros).text("time a request", name, "us"));
        System.out.println(LineFit.through(at, kept).text("kept", name, "KB"));
    }

    /** Measures the call for silent nodes, which {@code PeerObservations.publishFindings} makes every 50 ms. */
    private static void printSilentNodes() {
        System.out.printf("%n| nodes | us a call of silentNodes | share of a core at 20 calls a second |%n| --- | --- | "
            + "--- |%n");
        double[] at = new double[NODES.length];
        double[] micros = new double[NODES.length];
        int calls = 1_000;
        for (int i = 0; i < NODES.length; i++) {
            Control control = new ControlReplay(new Shape(ControlReplay.TARGET_RATE, NODES[i], 1, 0, 0, 100, Timers.ONE),
                SEED).replay(SEED);
            Meter.Cost cost = Meter.median(WARM_UPS, RUNS, () -> {
                for (int c = 0; c < calls; c++) {
                    control.unresponsiveNodes();
                }
            });
            at[i] = NODES[i];
            micros[i] = cost.nanos() / 1e3 / calls;
            System.out.printf(Locale.ROOT, "| %d | %.2f | %.3f%% |%n", NODES[i], micros[i], micros[i] * 20 / 1e4);
        }
        System.out.println(LineFit.through(at, micros).text("a call", "nodes", "us"));
    }
}
