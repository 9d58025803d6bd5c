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
 * Runs a scale scenario at one or several fleet sizes and reports. A scenario that needs more memory than allowed is
 * rejected before anything starts; a run ends by itself and leaves no process behind.
 */
public final class Scale {
    /** Exit code: all invariants and objectives held. */
    public static final int PASSED = 0;
    /** Exit code: an invariant or an objective did not hold. */
    public static final int FAILED = 1;
    /** Exit code: the scenario is invalid or too large for the machine. */
    public static final int INVALID = 2;
    /** Exit code: the host could not keep up, so the figures are not valid. */
    public static final int VOID = 3;
    private static final int SIMULATED_PORT = 7_946;
    private static final int PORT_ATTEMPTS = 1_000;
    /** Ports below the ephemeral range, so that the system does not assign an instance's port while the instance is down. */
    private static final int MIN_PORT = 15_000;
    private static final int MAX_PORT = 32_000;
    /** Start of the simulated clock, in milliseconds since 1970: a realistic date. */
    private static final double SIMULATED_START = 1_700_000_000_000.0;
    /** Estimated memory of one instance's state as held by another instance, in bytes. */
    private static final long BYTES_PER_STATE = 4_096;
    /** Estimated memory of a process of the program. */
    private static final long BYTES_PER_PROCESS = 160L << 20;
    /** Estimated memory of a simulated instance without the states of others that it holds. */
    private static final long BYTES_PER_INSTANCE = 1 << 20;

    /**
     * Command-line options.
     *
     * @param sizes fleet sizes that replace the scenario's, one run each; empty for the scenario's
     * @param seconds measured time that replaces the scenario's, or NaN
     * @param report folder for plots, or null
     * @param json file for the figures, or null
     * @param simulated whether to run on one simulated clock, without sockets and processes
     */
    public record Options(Path scenario, List<Integer> sizes, double seconds, long seed, Path report, Path json,
                          boolean simulated) {}

    private Scale() {}

    /** Returns an exit code; prints failed invariants and missed objectives to {@code out}, invalid input to {@code err}. */
    public static int run(Options options, PrintStream out, PrintStream err) throws IOException, InterruptedException {
        List<ScaleScenario> scenarios = new ArrayList<>();
        try {
            ScaleScenario scenario = read(options);
            if (options.sizes().isEmpty()) {
                scenarios.add(scenario);
            }
            for (int size : options.sizes()) {
                scenarios.add(scenario.withInstances(size));
            }
            for (ScaleScenario sized : scenarios) {
                checkMemory(sized, ResourceMeter.machineMemory());
            }
        } catch (ScaleScenario.InvalidScenario e) {
            err.println("kelphollow: " + options.scenario() + ": " + e.getMessage());
            return INVALID;
        }
        List<ScaleReport> reports = new ArrayList<>();
        List<List<Samples.Moment>> moments = new ArrayList<>();
        out.println(ScaleReport.HEADER);
        for (ScaleScenario scenario : scenarios) {
            ScaleReport report = runScenario(scenario, options, moments);
            out.println(report.line());
            report.failures().forEach(failure -> out.println("FAIL " + failure));
            report.missed().forEach(objective -> out.println("MISSED " + objective));
            reports.add(report);
        }
        write(options, reports);
        writePlots(options, reports, moments);
        return code(reports);
    }

    private static ScaleScenario read(Options options) throws ScaleScenario.InvalidScenario {
        try {
            if (!(Json.parse(Files.readString(options.scenario())) instanceof Map<?, ?> json)) {
                throw new ScaleScenario.InvalidScenario("expected a JSON object at the top level");
            }
            ScaleScenario scenario = ScenarioReader.read(json);
            scenario = Double.isNaN(options.seconds()) ? scenario : scenario.withSeconds(options.seconds());
            return options.simulated() ? scenario.withoutProcesses() : scenario;
        } catch (IOException e) {
            throw new ScaleScenario.InvalidScenario(e.getMessage());
        }
    }

    /** Rejects a scenario that needs more than half of the machine's memory or more than this process's maximum heap. */
    static void checkMemory(ScaleScenario scenario, long machineMemory) throws ScaleScenario.InvalidScenario {
        long simulated = scenario.simulated() * (BYTES_PER_INSTANCE + BYTES_PER_STATE * scenario.instances());
        if (simulated + scenario.real() * BYTES_PER_PROCESS > machineMemory / 2) {
            throw new ScaleScenario.InvalidScenario((scenario.real() > 0 ? "real" : "instances")
                + ": needs more than half of the machine's memory, which is " + (machineMemory >> 20) + " MB");
        }
        if (simulated > Runtime.getRuntime().maxMemory()) {
            throw new ScaleScenario.InvalidScenario("instances: need about " + (simulated >> 20)
                + " MB, more than this process's maximum heap (-Xmx)");
        }
    }

    private static ScaleReport runScenario(ScaleScenario scenario, Options options, List<List<Samples.Moment>> moments)
        throws IOException, InterruptedException {
        return options.simulated() ? runSimulated(scenario, options.seed(), moments) : runOverSockets(scenario, options,
            moments);
    }

    private static ScaleReport runSimulated(ScaleScenario scenario, long seed, List<List<Samples.Moment>> moments)
        throws IOException, InterruptedException {
        NetworkModel network = new NetworkModel(scenario, seed, SIMULATED_PORT);
        try (FleetHost host = new SimulatedHost(network, SIMULATED_START)) {
            ScaleRun run = new ScaleRun(scenario, host, network, ScaleRun.ExternalInstances.NONE, seed);
            run.execute();
            moments.add(run.samples().moments());
            return new ScaleReport(scenario, run, Map.of(), 0, true, seed);
        }
    }

    private static ScaleReport runOverSockets(ScaleScenario scenario, Options options, List<List<Samples.Moment>> moments)
        throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("kelphollow-scale");
        NetworkModel network = new NetworkModel(scenario, options.seed(), freePort());
        try (StubDiscoveryServer discovery = new StubDiscoveryServer(scenario);
             RealInstances real = new RealInstances(scenario, network, discovery, folder);
             FleetHost host = new SocketHost(network, scenario.loops(), real::isProcess)) {
            Thread cleanUp = new Thread(real::close, "scale-end");
            Runtime.getRuntime().addShutdownHook(cleanUp);   // kills the processes if the run is interrupted
            try {
                real.start();
                ScaleRun run = new ScaleRun(scenario, host, network, real, options.seed());
                run.execute();
                double lateness = host.p99Lateness();
                moments.add(run.samples().moments());
                run.end();
                real.verify(run.failures());
                Map<String, Object> processes = real.figures(run.samples(), run.failures());
                return new ScaleReport(scenario, run, processes, lateness, false, options.seed());
            } finally {
                real.close();
                Runtime.getRuntime().removeShutdownHook(cleanUp);
            }
        } finally {
            delete(folder);
        }
    }

    private static int freePort() throws IOException {
        for (int attempt = 0; attempt < PORT_ATTEMPTS; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket tcp = new ServerSocket(port); DatagramSocket udp = new DatagramSocket(port)) {
                return port;
            } catch (IOException e) {
                // in use: try another one
            }
        }
        throw new IOException("no free port from " + MIN_PORT + " to " + MAX_PORT + " in " + PORT_ATTEMPTS + " attempts");
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private static void write(Options options, List<ScaleReport> reports) throws IOException {
        if (options.json() != null) {
            Object figures = reports.size() == 1 ? reports.get(0).figures()
                : Map.of("runs", reports.stream().map(ScaleReport::figures).toList());
            Files.writeString(options.json(), Json.write(figures) + "\n");
        }
    }

    private static void writePlots(Options options, List<ScaleReport> reports, List<List<Samples.Moment>> moments)
        throws IOException {
        if (options.report() != null) {
            Files.createDirectories(options.report());
            ScalePlots.write(reports, moments, options.report());
        }
    }

    private static int code(List<ScaleReport> reports) {
        if (reports.stream().anyMatch(ScaleReport::isVoid)) {
            return VOID;
        }
        return reports.stream().allMatch(ScaleReport::hasPassed) ? PASSED : FAILED;
    }
}
