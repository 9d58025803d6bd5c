package kelphollow.capacity;

import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Random;

/**
 * Connections between one scheduler and one node as {@code transport.ConnectionPools} keeps them, simulated by seed:
 * the one used last is taken first, none within its quarantine, and old ones are closed: {@code mvn -B -q -Pbench
 * test-compile exec:exec@pairs}.
 */
public final class NodeConnections {
    private static final int[] SCHEDULERS = {20, 50, 100, 200, 510, 1_000};
    private static final double NODE_RATE = 430;
    private static final double SERVICE = 5;
    private static final double QUARANTINE = 20;
    private static final double IDLE = 12_000;
    private static final double SWEEP_FROM = 7.0 / 8;
    private static final double PLAYED = 2_000_000;
    private static final long SEED = 34;

    private NodeConnections() {}

    private record Mean(double open, double dialsASecond) {}

    /** Times in milliseconds; a sweep every eighth of the idle time closes what has lain idle for seven eighths of it. */
    private static Mean play(double ratePerSecond, double service) {
        Random random = new Random(SEED);
        ArrayDeque<Double> idleSince = new ArrayDeque<>();
        double now = 0;
        double area = 0;
        double nextSweep = IDLE / 8;
        long dials = 0;
        while (now < PLAYED) {
            double next = now - Math.log(1 - random.nextDouble()) * 1_000 / ratePerSecond;
            while (nextSweep <= next) {
                area += idleSince.size() * (nextSweep - now);
                now = nextSweep;
                while (!idleSince.isEmpty() && idleSince.peekFirst() < now - IDLE * SWEEP_FROM) {
                    idleSince.pollFirst();
                }
                nextSweep += IDLE / 8;
            }
            area += idleSince.size() * (next - now);
            now = next;
            Double taken = null;
            for (var latest = idleSince.descendingIterator(); latest.hasNext() && taken == null;) {
                double since = latest.next();
                if (now - since >= QUARANTINE) {
                    latest.remove();
                    taken = since;
                }
            }
            dials += taken == null ? 1 : 0;
            idleSince.addLast(now + service);   // in use until then, which the quarantine covers as well
        }
        return new Mean(area / now, dials / now * 1_000);
    }

    /** Plays all sizes and prints the figures with their fits. */
    public static void main(String[] args) {
        System.out.println("| schedulers | requests a second a pair | service ms | open a pair | open at a node | open "
            + "at a scheduler "
            + "with 1,000 nodes | dials a second at a node | dials a request |\n| --- | --- | --- | --- | --- | --- | "
            + "--- | --- |");
        for (double service : new double[] {SERVICE, 50}) {
            double[] at = new double[SCHEDULERS.length];
            double[] open = new double[SCHEDULERS.length];
            for (int i = 0; i < SCHEDULERS.length; i++) {
                double rate = NODE_RATE / SCHEDULERS[i];
                Mean mean = play(rate, service);
                at[i] = SCHEDULERS[i];
                open[i] = mean.open * SCHEDULERS[i];
                System.out.printf(Locale.ROOT, "| %d | %.2f | %.0f | %.2f | %.0f | %.0f | %.1f | %.3f |%n",
                    SCHEDULERS[i], rate, service,
                    mean.open, open[i], mean.open * 1_000, mean.dialsASecond * SCHEDULERS[i], mean.dialsASecond / rate);
            }
            System.out.println(LineFit.through(at, open).text("open at a node", "schedulers", "connections"));
        }
    }
}
