package kelphollow.capacity;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import kelphollow.decision.Control;
import kelphollow.protocol.discovery.DiscoveryList;
import kelphollow.protocol.discovery.DiscoveryListParser;
import kelphollow.protocol.json.Json;
import kelphollow.routing.Attempt;
import kelphollow.routing.Backend;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.Ticker;

/**
 * Compares a whole node list with an update of one node: bytes, time to parse, memory and time in {@code
 * RequestRouter.updateEndpoints}: {@code mvn -B -q -Pbench test-compile exec:exec@list}.
 */
public final class NodeListCost {
    private static final int[] NODES = {10, 20, 50, 100, 200, 510, 1_000};
    private static final int CALLS_PER_RUN = 20;
    private static final int WARM_UPS = 5;
    private static final int RUNS = 5;

    private NodeListCost() {}

    /** Returns a node list in the discovery format with all optional fields: name, zone, shard, state, start and address. */
    static String json(int from, int to, boolean whole) {
        StringBuilder hosts = new StringBuilder();
        for (int n = from; n < to; n++) {
            hosts.append(n > from ? "," : "").append("{\"host\":\"node-").append(n).append("\",\"site\":\"zone-")
                .append(n % 6)
                .append("\",\"block\":").append(n).append(",\"health\":\"ready\",\"born_ms\":1796000000000,\"dial\":\"10.1.")
                .append(n / 250).append('.').append(n % 250 + 1).append(":6379\"}");
        }
        return "{\"seq\":123456,\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}";
    }

    private static DiscoveryList read(String text) {
        try {
            return DiscoveryListParser.parse(Json.parse(text));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static RequestRouter router() {
        Ticker ticker = new Ticker() {
            @Override public double now() {
                return ControlReplay.START;
            }

            @Override public Timeout after(double millis, Runnable task) {
                return () -> {};
            }
        };
        Backend backend = new Backend() {
            @Override public void start(Attempt attempt) {}

            @Override public void cancel(Attempt attempt) {}

            @Override public void closeIdleConnections(String node) {}
        };
        return new RequestRouter(new Control(ControlReplay.settings(510), 1, ControlReplay.START), ticker, backend);
    }

    private static double micros(Runnable task) {
        return Meter.median(WARM_UPS, RUNS, () -> {
            for (int i = 0; i < CALLS_PER_RUN; i++) {
                task.run();
            }
        }).nanos() / 1e3 / CALLS_PER_RUN;
    }

    /** Measures all sizes and prints the table with its fitted lines. */
    public static void main(String[] args) {
        System.out.println("| nodes | bytes, whole | bytes, one changed | us to parse whole | us to learn whole | us to "
            + "learn one changed "
            + "| KB kept by list and core |\n| --- | --- | --- | --- | --- | --- | --- |");
        double[][] columns = new double[6][NODES.length];
        double[] at = new double[NODES.length];
        for (int i = 0; i < NODES.length; i++) {
            int nodes = at(at, i);
            String whole = json(0, nodes, true);
            String change = json(0, 1, false);
            DiscoveryList all = read(whole);
            DiscoveryList one = read(change);
            RequestRouter router = router();
            columns[0][i] = whole.getBytes(StandardCharsets.UTF_8).length;
            columns[1][i] = change.getBytes(StandardCharsets.UTF_8).length;
            columns[2][i] = micros(() -> read(whole));
            columns[3][i] = micros(() -> router.updateEndpoints(all.endpoints(), true));
            columns[4][i] = micros(() -> router.updateEndpoints(one.endpoints(), false));
            columns[5][i] = Meter.retained(() -> {
                RequestRouter kept = router();
                kept.updateEndpoints(read(whole).endpoints(), true);
                return kept;
            }) / 1e3;
            System.out.printf(Locale.ROOT, "| %d | %.0f | %.0f | %.0f | %.0f | %.1f | %.0f |%n", nodes, columns[0][i],
                columns[1][i],
                columns[2][i], columns[3][i], columns[4][i], columns[5][i]);
        }
        List<String> names = List.of("bytes of a whole list", "bytes of a change", "parse whole", "learn whole",
            "learn change", "kept");
        List<String> units = List.of("B", "B", "us", "us", "us", "KB");
        for (int c = 0; c < columns.length; c++) {
            System.out.println(LineFit.through(at, columns[c]).text(names.get(c), "nodes", units.get(c)));
        }
    }

    private static int at(double[] sizes, int i) {
        sizes[i] = NODES[i];
        return NODES[i];
    }
}
