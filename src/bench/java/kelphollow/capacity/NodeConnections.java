package kelphollow.capacity;

import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Random;

/**
 * Simulates the connections that {@code transport.ConnectionPools} keeps between one scheduler and one node, with a seeded
 * random generator: the most recently used connection is reused first, none during its quarantine, and idle ones are
 * closed: {@code mvn -B -q -Pbench test-compile exec:exec@pairs}.
 */
public final class NodeConnections {
    private static final int[] SCHEDULERS = {20, 50, 100, 200, 510, 1_000};
    private static final double NODE_RATE = 430;
    private static final double SERVICE_MS = 5;
    private static final double QUARANTINE_MS = 20;
    private static final double IDLE_MS = 12_000;
    private static final double CLOSE_AT_IDLE_SHARE = 7.0 / 8;
    private static final double SIMULATED_MS = 2_000_000;
    private static final long SEED = 34;

    private NodeConnections() {}

    private record Averages(double open, double dialsPerSecond) {}

    /** Times are in milliseconds. Every eighth of the idle time a sweep closes connections idle for seven eighths of it. */
    private static Averages simulate(double ratePerSecond, double service) {
        Random random = new Random(SEED);
        ArrayDeque<Double> idleSince = new ArrayDeque<>();
        double now = 0;
        double connectionMillis = 0;
        double nextSweep = IDLE_MS / 8;
        long dials = 0;
        while (now < SIMULATED_MS) {
            double next = now - Math.log(1 - random.nextDouble()) * 1_000 / ratePerSecond;
            while (nextSweep <= next) {
                connectionMillis += idleSince.size() * (nextSweep - now);
                now = nextSweep;
                while (!idleSince.isEmpty() && idleSince.peekFirst() < now - IDLE_MS * CLOSE_AT_IDLE_SHARE) {
                    idleSince.pollFirst();
                }
                nextSweep += IDLE_MS / 8;
            }
            connectionMillis += idleSince.size() * (next - now);
            now = next;
            Double reused = null;
            for (var latest = idleSince.descendingIterator(); latest.hasNext() && reused == null;) {
                double since = latest.next();
                if (now - since >= QUARANTINE_MS) {
                    latest.remove();
                    reused = since;
                }
            }
            dials += reused == null ? 1 : 0;
            idleSince.addLast(now + service);   // the quarantine also covers the time in use
        }
        return new Averages(connectionMillis / now, dials / now * 1_000);
    }

    /** Simulates all sizes and prints the table with its fitted lines. */
    public static void main(String[] args) {
        System.out.println("| schedulers | requests a second a pair | service ms | open a pair | open at a node | open "
            + "at a scheduler "
            + "with 1,000 nodes | dials a second at a node | dials a request |\n| --- | --- | --- | --- | --- | --- | "
            + "--- | --- |");
        for (double service : new double[] {SERVICE_MS, 50}) {
            double[] at = new double[SCHEDULERS.length];
            double[] open = new double[SCHEDULERS.length];
            for (int i = 0; i < SCHEDULERS.length; i++) {
                double rate = NODE_RATE / SCHEDULERS[i];
                Averages mean = simulate(rate, service);
                at[i] = SCHEDULERS[i];
                open[i] = mean.open * SCHEDULERS[i];
                System.out.printf(Locale.ROOT, "| %d | %.2f | %.0f | %.2f | %.0f | %.0f | %.1f | %.3f |%n",
                    SCHEDULERS[i], rate, service,
                    mean.open, open[i], mean.open * 1_000, mean.dialsPerSecond * SCHEDULERS[i], mean.dialsPerSecond / rate);
            }
            System.out.println(LineFit.through(at, open).text("open at a node", "schedulers", "connections"));
        }
    }
}
