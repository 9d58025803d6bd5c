package kelphollow.capacity;

import java.util.Locale;
import kelphollow.capacity.ControlPlay.Shape;
import kelphollow.capacity.ControlPlay.Timers;
import kelphollow.decision.Control;

/**
 * What the decision module costs a request, and keeps, by the number of nodes, volumes, held requests and cold nodes:
 * {@code mvn -B -q -Pbench test-compile exec:exec@control}. Only {@code Control.on} is in the time.
 */
public final class ControlCost {
    private static final long SEED = 34;
    private static final int REQUESTS = 4_000;
    private static final int WARM_UPS = 1;
    private static final int RUNS = 3;
    private static final double[] RATES = {20, 100, 200, 400, 843};
    private static final int[] SECONDS = {1, 2, 4};
    // Beyond so many requests the play with each timer takes minutes.
    private static final int MOST_TIMED = 1_700;
    private static final int[] NODES = {10, 20, 50, 100, 200, 510, 1_000};
    private static final int[] VOLUMES = {100, 200, 510, 1_000, 5_000, 20_000};
    private static final int[] HELD = {0, 100, 200, 500, 1_000, 5_000};
    private static final int[] COLD = {0, 10, 50, 167};
    private static final int TARGET_NODES = 1_000;
    private static final int USUAL_VOLUMES = 1_000;
    private static final int SOME_NODES = 100;

    private ControlCost() {}

    private interface Sized {
        Shape of(int size);
    }

    /** Plays all sizes and prints the figures with their fits. */
    public static void main(String[] args) {
        table("nodes", NODES, n -> shape(n, USUAL_VOLUMES, 0, 0));
        table("volumes", VOLUMES, v -> shape(SOME_NODES, v, 0, 0));
        table("held requests", HELD, h -> shape(SOME_NODES, USUAL_VOLUMES, h, 0));
        table("cold nodes", COLD, c -> shape(TARGET_NODES, USUAL_VOLUMES, 0, c));
        findings();
        timers();
    }

    private static Shape shape(int nodes, int volumes, int held, int cold) {
        return new Shape(ControlPlay.TARGET_RATE, nodes, volumes, held, cold, REQUESTS, Timers.ONE);
    }

    /** Each timer that fires may ask for the next, so their number grows for as long as due times lie closer than a tick. */
    private static void timers() {
        System.out.printf("%n| requests a second | seconds played | timers a request, each as asked | one at a time |%n"
            + "| --- | --- | --- | --- |%n");
        for (double rate : RATES) {
            for (int seconds : SECONDS) {
                int requests = (int) (rate * seconds);
                if (requests > MOST_TIMED) {
                    continue;
                }
                System.out.printf(Locale.ROOT, "| %.0f | %d | %.1f | %.1f |%n", rate, seconds,
                    new ControlPlay(new Shape(rate, 10, USUAL_VOLUMES, 0, 0, requests, Timers.AS_ASKED), SEED)
                        .timersARequest(),
                    new ControlPlay(new Shape(rate, 10, USUAL_VOLUMES, 0, 0, requests, Timers.ONE), SEED).timersARequest());
            }
        }
    }

    private static void table(String name, int[] sizes, Sized shape) {
        System.out.printf("%n| %s | us a request | bytes allocated a request | events a request | timers a request | KB "
            + "kept |%n"
            + "| --- | --- | --- | --- | --- | --- |%n", name);
        double[] at = new double[sizes.length];
        double[] micros = new double[sizes.length];
        double[] kept = new double[sizes.length];
        for (int i = 0; i < sizes.length; i++) {
            ControlPlay play = new ControlPlay(shape.of(sizes[i]), SEED);
            Meter.Cost cost = Meter.median(WARM_UPS, RUNS, () -> play.replay(SEED));
            at[i] = sizes[i];
            micros[i] = cost.nanos() / 1e3 / REQUESTS;
            kept[i] = Meter.retained(() -> play.replay(SEED)) / 1e3;
            System.out.printf(Locale.ROOT, "| %d | %.1f | %.0f | %.2f | %.2f | %.0f |%n", sizes[i], micros[i],
                cost.bytes() / REQUESTS,
                play.eventsARequest(), play.timersARequest(), kept[i]);
        }
        System.out.println(LineFit.through(at, micros).text("time a request", name, "us"));
        System.out.println(LineFit.through(at, kept).text("kept", name, "KB"));
    }

    /** {@code Fleet.look} asks for the silent nodes every 50 ms. */
    private static void findings() {
        System.out.printf("%n| nodes | us a call of silentNodes | share of a core at 20 calls a second |%n| --- | --- | "
            + "--- |%n");
        double[] at = new double[NODES.length];
        double[] micros = new double[NODES.length];
        int calls = 1_000;
        for (int i = 0; i < NODES.length; i++) {
            Control control = new ControlPlay(new Shape(ControlPlay.TARGET_RATE, NODES[i], 1, 0, 0, 100, Timers.ONE),
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
