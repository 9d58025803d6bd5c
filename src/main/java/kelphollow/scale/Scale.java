package kelphollow.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import kelphollow.protocol.json.Json;

/**
 * Plays a scale scenario at one size or several and reports. A scenario beyond the bounds of the machine is refused before
 * anything starts; a run ends by itself and leaves no process.
 */
public final class Scale {
    /** Exit codes. */
    public static final int GOOD = 0, FAILED = 1, REFUSED = 2, VOID = 3;
    private static final int SIMULATED_PORT = 7_946, PORT_TRIES = 1_000;
    /** Where the simulated clock starts, in milliseconds: an ordinary date. */
    private static final double SIMULATED_START = 1_700_000_000_000.0;
    // What a part that is held takes in memory with its entries and the guard of its sender, and a process all in all.
    private static final long BYTES_A_PART = 4_096, BYTES_A_PROCESS = 160L << 20, BYTES_AN_INSTANCE = 1 << 20;

    /**
     * What a command line asks for.
     *
     * @param sizes to play instead of the scenario's, or empty
     * @param seconds to measure instead of the scenario's, or NaN
     * @param report a folder for curves and what processes leave, or null
     * @param json a file for the figures, or null
     * @param simulated on one clock without sockets and processes
     */
    public record Order(Path scenario, List<Integer> sizes, double seconds, long seed, Path report, Path json,
                        boolean simulated) {}

    private Scale() {}

    /** Returns {@link #GOOD}, {@link #FAILED} with what did not hold on {@code out}, {@link #REFUSED} or {@link #VOID}. */
    public static int run(Order order, PrintStream out, PrintStream err) throws IOException, InterruptedException {
        List<ScaleScenario> scenarios = new ArrayList<>();
        try {
            ScaleScenario scenario = read(order);
            if (order.sizes().isEmpty()) {
                scenarios.add(scenario);
            }
            for (int size : order.sizes()) {
                scenarios.add(scenario.sized(size));
            }
            for (ScaleScenario sized : scenarios) {
                bound(sized, Processor.machineMemory());
            }
        } catch (ScaleScenario.Refused e) {
            err.println("kelphollow: " + order.scenario() + ": " + e.getMessage());
            return REFUSED;
        }
        List<ScaleReport> reports = new ArrayList<>();
        List<List<Samples.Moment>> moments = new ArrayList<>();
        out.println(ScaleReport.HEADER);
        for (ScaleScenario scenario : scenarios) {
            ScaleReport report = play(scenario, order, moments);
            out.println(report.line());
            report.failures().forEach(f -> out.println("FAIL " + f));
            report.missed().forEach(m -> out.println("MISSED " + m));
            reports.add(report);
        }
        write(order, reports);
        writeCurves(order, reports, moments);
        return code(reports);
    }

    private static ScaleScenario read(Order order) throws ScaleScenario.Refused {
        try {
            if (!(Json.parse(Files.readString(order.scenario())) instanceof Map<?, ?> json)) {
                throw new ScaleScenario.Refused("the file holds no JSON object");
            }
            ScaleScenario scenario = ScaleScenario.read(json);
            scenario = Double.isNaN(order.seconds()) ? scenario : scenario.lasting(order.seconds());
            return order.simulated() ? scenario.hollowOnly() : scenario;
        } catch (IOException e) {
            throw new ScaleScenario.Refused(e.getMessage());
        }
    }

    /** Refuses what needs more than half of the machine's memory, or of this process's own heap. */
    static void bound(ScaleScenario scenario, long machineMemory) throws ScaleScenario.Refused {
        long hollow = scenario.hollow() * (BYTES_AN_INSTANCE + BYTES_A_PART * scenario.instances());
        if (hollow + scenario.real() * BYTES_A_PROCESS > machineMemory / 2) {
            throw new ScaleScenario.Refused((scenario.real() > 0 ? "real" : "instances")
                + ": needs more than half of the machine's memory");
        }
        if (hollow > Runtime.getRuntime().maxMemory()) {
            throw new ScaleScenario.Refused("instances: needs some " + (hollow >> 20)
                + " MB, more than this process may have (-Xmx)");
        }
    }

    private static ScaleReport play(ScaleScenario scenario, Order order, List<List<Samples.Moment>> moments)
        throws IOException, InterruptedException {
        return order.simulated() ? simulated(scenario, order.seed(), moments) : withSockets(scenario, order, moments);
    }

    private static ScaleReport simulated(ScaleScenario scenario, long seed, List<List<Samples.Moment>> moments)
        throws IOException, InterruptedException {
        NetworkModel network = new NetworkModel(scenario, seed, SIMULATED_PORT);
        try (FleetHost host = new SimulatedHost(network, SIMULATED_START)) {
            ScaleRun run = new ScaleRun(scenario, host, network, ScaleRun.Others.NONE, seed);
            run.play();
            moments.add(run.samples().moments());
            return new ScaleReport(scenario, run, Map.of(), 0, true, seed);
        }
    }

    private static ScaleReport withSockets(ScaleScenario scenario, Order order, List<List<Samples.Moment>> moments)
        throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("kelphollow-scale");
        NetworkModel network = new NetworkModel(scenario, order.seed(), freePort());
        try (DiscoveryStandIn discovery = new DiscoveryStandIn(scenario);
             RealInstances real = new RealInstances(scenario, network, discovery, folder);
             FleetHost host = new SocketHost(network, scenario.loops(), real::isProcess)) {
            Thread end = new Thread(real::close, "scale-end");
            Runtime.getRuntime().addShutdownHook(end);   // an interrupted run leaves no process either
            try {
                real.start();
                ScaleRun run = new ScaleRun(scenario, host, network, real, order.seed());
                run.play();
                double lateness = host.lateness();
                moments.add(run.samples().moments());
                run.end();
                real.verify(run.failures());
                Map<String, Object> processes = real.figures(run.samples(), run.failures());
                return new ScaleReport(scenario, run, processes, lateness, false, order.seed());
            } finally {
                real.close();
                Runtime.getRuntime().removeShutdownHook(end);
            }
        } finally {
            delete(folder);
        }
    }

    /** A port under those that systems give to connections by themselves: an instance keeps it while it is down. */
    private static int freePort() throws IOException {
        for (int tries = 0; tries < PORT_TRIES; tries++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            try (ServerSocket tcp = new ServerSocket(port); DatagramSocket udp = new DatagramSocket(port)) {
                return port;
            } catch (IOException e) {
                continue;                  // somebody has it
            }
        }
        throw new IOException("no free port");
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private static void write(Order order, List<ScaleReport> reports) throws IOException {
        if (order.json() != null) {
            Object figures = reports.size() == 1 ? reports.get(0).figures()
                : Map.of("runs", reports.stream().map(ScaleReport::figures).toList());
            Files.writeString(order.json(), Json.text(figures) + "\n");
        }
    }

    private static void writeCurves(Order order, List<ScaleReport> reports, List<List<Samples.Moment>> moments)
        throws IOException {
        if (order.report() != null) {
            Files.createDirectories(order.report());
            LoadProfilePlots.write(reports, moments, order.report());
        }
    }

    private static int code(List<ScaleReport> reports) {
        if (reports.stream().anyMatch(ScaleReport::isVoid)) {
            return VOID;
        }
        return reports.stream().allMatch(ScaleReport::isGood) ? GOOD : FAILED;
    }
}
