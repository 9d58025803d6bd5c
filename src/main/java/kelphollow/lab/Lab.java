package kelphollow.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import kelphollow.protocol.json.Json;

/** Runs one scenario and checks its history. Ends by itself and leaves no process behind, even when interrupted. */
public final class Lab {
    /** Exit code: no check found a violation. */
    public static final int PASS = 0;
    /** Exit code: a check found a violation. */
    public static final int FAIL = 1;
    /** Exit code: the scenario or the folder cannot be used. */
    public static final int INVALID = 2;

    private Lab() {}

    /**
     * Runs the scenario in the file.
     *
     * @param report an empty or missing folder for the history and the files of the processes, or null
     * @return {@link #PASS}, {@link #FAIL} with the lines that prove it on {@code out}, or {@link #INVALID}
     */
    public static int run(Path file, long seed, Path report, PrintStream out, PrintStream err)
        throws IOException, InterruptedException {
        Scenario scenario;
        try {
            scenario = read(file);
        } catch (IOException | InvalidScenarioException e) {
            err.println("kelphollow: " + file + ": " + e.getMessage());
            return INVALID;
        }
        if (report != null && !isEmpty(report)) {
            err.println("kelphollow: " + report
                + " is not empty: files of an earlier run would be mistaken for those of this run");
            return INVALID;
        }
        List<Map<String, Object>> history = runScenario(scenario, seed, report);
        List<HistoryLine> lines = HistoryLine.of(history);
        RunStatistics statistics = new RunStatistics(lines);
        if (report != null) {
            Plots.write(scenario, lines, report);
        }
        List<Finding> findings = Checker.check(history);
        for (Finding finding : findings) {
            out.println("FAIL " + finding.check() + ": " + finding.description());
            finding.evidence().forEach(line -> out.println("    " + History.json(line.values())));
        }
        out.println((findings.isEmpty() ? "PASS " : "FAIL ") + scenario.name() + " seed " + seed + ": "
            + statistics.summary());
        return findings.isEmpty() ? PASS : FAIL;
    }

    private static Scenario read(Path file) throws IOException, InvalidScenarioException {
        if (!(Json.parse(Files.readString(file)) instanceof Map<?, ?> json)) {
            throw new InvalidScenarioException("the file does not contain a JSON object");
        }
        return ScenarioReader.read(json);
    }

    private static boolean isEmpty(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            return true;
        }
        try (Stream<Path> files = Files.list(folder)) {
            return files.findAny().isEmpty();
        }
    }

    private static List<Map<String, Object>> runScenario(Scenario scenario, long seed, Path report)
        throws IOException, InterruptedException {
        Path folder = report == null ? Files.createTempDirectory("kelphollow-lab") : Files.createDirectories(report);
        try (History history = new History(folder.resolve("history.jsonl"))) {
            runScenario(scenario, seed, folder, history);
            return history.lines();
        } finally {
            if (report == null) {
                delete(folder);
            }
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private static void runScenario(Scenario scenario, long seed, Path folder, History history)
        throws IOException, InterruptedException {
        try (FakeNodes nodes = new FakeNodes(history, scenario.nodes(), scenario.nodeCapacity());
             FakeControlPlane controlPlane = new FakeControlPlane(history, nodes.ports());
             Instances instances = new Instances(scenario, history, controlPlane.port(), folder, seed);
             Clients clients = new Clients(scenario, history, instances, seed)) {
            Thread shutdownHook = new Thread(instances::close, "lab-end");
            Runtime.getRuntime().addShutdownHook(shutdownHook);   // an interrupted run must not leave processes behind
            try {
                new ScenarioRunner(scenario, history, nodes, controlPlane, instances, clients).run();
            } finally {
                Runtime.getRuntime().removeShutdownHook(shutdownHook);
            }
        }
    }
}
