package kelphollow.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import kelphollow.protocol.json.Json;

/** Plays one scenario and has its history judged. Ends by itself, and leaves no process, also when interrupted. */
public final class Lab {
    private static final long LOOK = 20;
    /** Exit codes. */
    public static final int PASS = 0, FAIL = 1, BAD = 2;

    private Lab() {}

    /**
     * Plays the scenario in the file.
     *
     * @param report a folder for the history and what the processes left, or null
     * @return {@link #PASS}, {@link #FAIL} with the lines that prove it on {@code out}, or {@link #BAD}
     */
    public static int run(Path file, long seed, Path report, PrintStream out, PrintStream err)
        throws IOException, InterruptedException {
        Scenario scenario;
        try {
            if (!(Json.parse(Files.readString(file)) instanceof Map<?, ?> json)) {
                throw new Scenario.Bad("the file holds no JSON object");
            }
            scenario = Scenario.read(json);
        } catch (IOException | Scenario.Bad e) {
            err.println("kelphollow: " + file + ": " + e.getMessage());
            return BAD;
        }
        if (report != null && Files.isDirectory(report)) {
            try (Stream<Path> files = Files.list(report)) {
                if (files.findAny().isPresent()) {
                    err.println("kelphollow: " + report
                        + " is not empty: what an earlier run left would be taken for this one's");
                    return BAD;
                }
            }
        }
        Path folder = report == null ? Files.createTempDirectory("kelphollow-lab") : Files.createDirectories(report);
        List<Map<String, Object>> lines;
        try (History history = new History(folder.resolve("history.jsonl"))) {
            play(scenario, seed, folder, history);
            lines = history.lines();
        } finally {
            if (report == null) {
                delete(folder);
            }
        }
        Figures figures = new Figures(lines);
        if (report != null) {
            Plots.write(scenario, lines, folder);
        }
        List<Checker.Finding> findings = Checker.check(lines);
        for (Checker.Finding f : findings) {
            out.println("FAIL " + f.check() + ": " + f.what());
            f.proof().forEach(line -> out.println("    " + History.json(line)));
        }
        out.println((findings.isEmpty() ? "PASS " : "FAIL ") + scenario.name() + " seed " + seed + ": " + figures.summary());
        return findings.isEmpty() ? PASS : FAIL;
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path f : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(f);
            }
        }
    }

    private static void play(Scenario scenario, long seed, Path folder, History history)
        throws IOException, InterruptedException {
        try (StandIns standIns = new StandIns(history, scenario.nodes(), scenario.power());
             Instances instances = new Instances(scenario, history, standIns, folder, seed);
             Clients clients = new Clients(history, instances, scenario.rate(), scenario.writes(), scenario.retries(),
                 scenario.gold(), seed)) {
            Thread end = new Thread(instances::close, "lab-end");
            Runtime.getRuntime().addShutdownHook(end);   // an interrupted run leaves no process either
            try {
                history.add("lab", "findings", "shared", scenario.findings());
                history.add("lab", "shed", "shared", scenario.shed());
                history.add("lab", "repeats", "share", scenario.repeats());
                history.add("lab", "limit", "rate", scenario.limit().rate(), "burst", scenario.limit().burst(),
                    "slack", scenario.limit().slack());
                for (String name : instances.names()) {
                    instances.start(name, 0);
                }
                Run run = new Run(scenario, history, standIns, instances, clients);
                boolean whole = run.await(new Scenario.Step(Scenario.Wait.AGREE, "", "", 0, 60_000, Scenario.Deed.NOTHING,
                    List.of(), List.of(), false, 0, false, 0, Scenario.Net.GOOD), -1, 0);
                clients.start();
                for (int i = 0; whole && i < scenario.steps().size(); i++) {
                    double from = run.last;
                    run.last = history.now();
                    whole = run.await(scenario.steps().get(i), i, from);
                    if (whole) {
                        run.last = history.now();
                        run.deed(scenario.steps().get(i));
                    }
                }
                clients.finish();
                run.settle(scenario.calm());
            } finally {
                Runtime.getRuntime().removeShutdownHook(end);
            }
        }
    }

    /** The timeline of one run. */
    private static final class Run {
        private final Scenario scenario;
        private final History history;
        private final StandIns standIns;
        private final Instances instances;
        private final Clients clients;
        private final Map<String, Set<String>> drained = new java.util.HashMap<>();
        private double last;

        Run(Scenario scenario, History history, StandIns standIns, Instances instances, Clients clients) {
            this.scenario = scenario;
            this.history = history;
            this.standIns = standIns;
            this.instances = instances;
            this.clients = clients;
        }

        /** Waits for what the step names, seen since {@code from}. */
        boolean await(Scenario.Step step, int number, double from) throws IOException, InterruptedException {
            double began = history.now(), most = began + step.within();
            while (history.now() < most) {
                instances.readEvents();
                boolean come = switch (step.until()) {
                    case AGREE -> instances.agree(false);
                    case SEEN -> history.count(from, l -> l.get("what").equals("event") && step.event().equals(l.get(
                        "event"))
                        && (step.of().isEmpty() || step.of().equals(l.get("of")))) >= step.count();
                    case SERVED -> history.count(began, l -> l.get("what").equals("answer")
                        && ((Number) l.get("status")).intValue() == 200) >= step.count();
                    case AFTER -> history.now() - began >= step.count();
                };
                if (come) {
                    return true;
                }
                TimeUnit.MILLISECONDS.sleep(LOOK);
            }
            history.add("lab", "missed", "step", number, "wait", step.until().name(), "event", step.event(), "of", step
                .of());
            return false;
        }

        void deed(Scenario.Step step) throws IOException, InterruptedException {
            List<String> others = new ArrayList<>(instances.names());
            others.removeAll(step.who());
            List<String> from = step.from().isEmpty() ? others : step.from();
            switch (step.deed()) {
                case CUT -> instances.cut(step.who(), from, step.oneWay(), true);
                case HEAL -> instances.cut(instances.names(), instances.names(), false, false);
                case NET -> instances.net(step.net());
                case NOISE -> instances.noise(step.who());
                case REPLAY -> instances.replay(step.who());
                case DISCOVERY_DOWN, DISCOVERY_UP -> {
                    boolean up = step.deed() == Scenario.Deed.DISCOVERY_UP;
                    history.add("lab", up ? "discovery-up" : "discovery-down");
                    standIns.discovery(up);
                }
                case LOAD -> clients.load(step.by());
                case NOTHING -> history.add("lab", "nothing");
                default -> {
                    for (String who : step.who()) {
                        one(step, who);
                    }
                }
            }
        }

        private void one(Scenario.Step step, String who) throws IOException, InterruptedException {
            switch (step.deed()) {
                case KILL -> instances.kill(who);
                case STOP -> instances.stop(who);
                case CONT -> instances.cont(who);
                case RESTART -> instances.restart(who, step.lostStore(), step.clockOff());
                case LEAVE -> instances.leave(who);
                case STARVE, FEED -> instances.starve(who, step.deed() == Scenario.Deed.STARVE);
                case SLOW_NODE -> {
                    history.add("lab", "slow", "node", who, "by", step.by());
                    standIns.slow(who, step.by());
                }
                case SILENT_NODE, FAILING_NODE, NODE_BACK -> {
                    StandIns.Mood mood = step.deed() == Scenario.Deed.SILENT_NODE ? StandIns.Mood.SILENT
                        : step.deed() == Scenario.Deed.FAILING_NODE ? StandIns.Mood.FAILING : StandIns.Mood.WELL;
                    history.add("lab", mood == StandIns.Mood.WELL ? "back" : mood.name().toLowerCase(java.util.Locale.ROOT),
                        "node", who);
                    standIns.mood(who, mood);
                }
                case DRAIN, UNDRAIN -> {
                    Set<String> nodes = drained.computeIfAbsent(who, w -> new HashSet<>());
                    if (step.deed() == Scenario.Deed.DRAIN) {
                        nodes.addAll(step.from());
                    } else {
                        nodes.removeAll(step.from());
                    }
                    standIns.drain(who, nodes);
                }
                default -> throw new IllegalStateException("no deed for one: " + step.deed());
            }
        }

        /** The end: all that run must come to see each other and stay so; what each sees is noted once. */
        void settle(double calm) throws IOException, InterruptedException {
            double until = history.now() + 60_000, since = Double.NaN;
            while (history.now() < until && !(history.now() - since >= calm)) {
                instances.readEvents();
                if (!instances.agree(false)) {
                    since = Double.NaN;
                } else if (Double.isNaN(since)) {
                    since = history.now();
                }
                TimeUnit.MILLISECONDS.sleep(LOOK);
            }
            instances.readEvents();
            instances.agree(true);
        }
    }
}
