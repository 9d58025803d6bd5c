package kelphollow.lab.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import kelphollow.lab.soak.SoakDiscovery.Health;
import kelphollow.lab.soak.SoakDiscovery.ListedNode;
import kelphollow.lab.soak.SoakHistory.AttemptArrived;
import kelphollow.lab.soak.SoakHistory.Incarnation;
import kelphollow.lab.soak.SoakHistory.ListChanged;
import kelphollow.lab.soak.SoakHistory.Outcome;
import kelphollow.lab.soak.SoakHistory.RequestEnded;
import kelphollow.lab.soak.SoakHistory.RequestSent;

/** One run: starts all parties, injects the faults at their times, stops everything, and checks the history. */
public final class Soak implements AutoCloseable {
    /** Parameters of a run; {@code seconds} of faults and load, without the time to start and stop. */
    public record Plan(long seed, int instances, int nodes, int seconds, boolean pushed) {}

    /** What happens to the instances of a run, and how many clients they have. */
    public enum Variant {
        /** Processes are killed and restarted. */
        RESTARTS(false, 3),
        /** Processes are replaced by others that run beside them for a time; volumes with limits are used as well. */
        UPGRADES(true, 3),
        /** Upgrades with many clients. */
        UPGRADES_WITH_CROWD(true, 24),
        /** Upgrades while some clients request long values and others send at full speed. */
        UPGRADES_WITH_FLOODS(true, 6, 0.15, false),
        /** Upgrades while groups of clients leave behind input that is not read. */
        UPGRADES_WITH_DEPARTURES(true, 4, 0, true),
        /** The same with many other clients. */
        UPGRADES_WITH_DEPARTURES_AND_CROWD(true, 24, 0, true);

        private final boolean upgrades;
        private final int clients;
        private final double longValueShare;
        private final boolean departures;

        Variant(boolean upgrades, int clients) {
            this(upgrades, clients, 0, false);
        }

        Variant(boolean upgrades, int clients, double longValueShare, boolean departures) {
            this.upgrades = upgrades;
            this.clients = clients;
            this.longValueShare = longValueShare;
            this.departures = departures;
        }

        /** The share of long values among the reads; where there are some, other clients flood the instances. */
        double longValueShare() {
            return longValueShare;
        }

        boolean upgrades() {
            return upgrades;
        }
    }

    /** Exit code: no rule was broken. */
    public static final int PASS = 0;
    /** Exit code: a rule was broken. */
    public static final int BROKEN = 1;
    private static final int PRINTED_BREACHES = 20;
    private static final int MAX_FAULT_LINES = 5;
    private static final int LATENESS_INTERVAL_MS = 10;
    /** Lateness of this process's threads above which time checks of a run mean nothing. */
    private static final double MAX_LATENESS_MS = 250;
    /** Delay that the checks always allow for the machine. */
    private static final double SLACK_MS = 120;
    private static final Pattern FAULT_LINE = Pattern.compile("invariant broken|AssertionError|Exception|SEVERE");

    private final Plan plan;
    private final Variant variant;
    private final Path folder;
    private final PrintStream out;
    private final SoakHistory history = new SoakHistory();
    private final SoakDiscovery discovery;
    private final List<SoakNode> nodes = new ArrayList<>();
    private final List<ServeProcess> instances = new ArrayList<>();
    private final FaultInjector injector;
    private final AtomicBoolean loadEnded = new AtomicBoolean();
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile double lateness;

    private Soak(Plan plan, Variant variant, Path folder, PrintStream out) throws IOException {
        this.plan = plan;
        this.variant = variant;
        this.folder = folder;
        if (Files.exists(folder)) {
            throw new IOException("folder " + folder + " already exists; a run needs a new one");
        }
        Files.createDirectories(folder);
        this.out = out;
        this.discovery = new SoakDiscovery(history, new Random(plan.seed() + 1));
        this.injector = new FaultInjector(plan, variant, history, discovery, nodes, instances,
            new Random(plan.seed() ^ 0x5eedL));
        history.setPushed(plan.pushed());
    }

    /** Runs the plan with restarts; see {@link #run(Plan, Variant, Path, PrintStream)}. */
    public static int run(Plan plan, Path folder, PrintStream out) throws Exception {
        return run(plan, Variant.RESTARTS, folder, out);
    }

    /** Runs the plan and prints the violations found; returns {@link #PASS} or {@link #BROKEN}. */
    public static int run(Plan plan, Variant variant, Path folder, PrintStream out) throws Exception {
        List<SoakChecker.Breach> breaches;
        try (Soak soak = new Soak(plan, variant, folder, out)) {
            breaches = soak.execute();
        }
        breaches.stream().limit(PRINTED_BREACHES).forEach(out::println);
        out.println(plan + (variant.upgrades() ? " " + variant : "") + ": " + (breaches.isEmpty() ? "no rule broken"
            : breaches.size() + " breaches"));
        return breaches.isEmpty() ? PASS : BROKEN;
    }

    private List<SoakChecker.Breach> execute() throws Exception {
        watchLateness();
        startAll();
        SoakClients clients = new SoakClients(history, plan.nodes(), variant.upgrades() ? plan.instances() : 0,
            variant.longValueShare());
        if (variant.longValueShare() > 0) {
            SoakThreads.start("floods", () -> new SoakFloods(instances, new Random(plan.seed() + 2)).run(ended::get));
        }
        Thread departures = !variant.departures ? null : SoakThreads.start("departures",
            () -> new SoakDepartures(history, instances, plan.nodes(), new Random(plan.seed() + 3)).run(loadEnded::get));
        for (int i = 0; i < plan.instances(); i++) {
            clients.start(i, instances.get(i).address(), variant.clients, plan.seed() * 1_000 + i);
        }
        injector.inject(SoakFaults.draw(plan.seed(), plan.seconds(), plan.instances(), plan.nodes(), plan.pushed()));
        loadEnded.set(true);
        clients.close();
        if (departures != null) {
            departures.join();
        }
        discovery.recover();
        stopAll();
        ended.set(true);
        readLogs();
        SoakHistory complete = history.snapshot();
        report(complete);
        return SoakChecker.check(complete, SLACK_MS + lateness);
    }

    private void startAll() throws Exception {
        for (int i = 0; i < plan.nodes(); i++) {
            nodes.add(new SoakNode("s-" + i, i, history, new Random(plan.seed() * 7 + i)));
        }
        discovery.change(nodes.stream().map(node -> ListedNode.of(node, Health.READY, 0)).toList());
        for (int i = 0; i < plan.instances(); i++) {
            InheritedSocket socket = variant.upgrades() ? new InheritedSocket() : null;
            instances.add(new ServeProcess(folder, i, ServeProcess.settings(plan.instances(), plan.pushed()), history,
                socket));
            injector.configure(i);
            instances.get(i).start();
        }
        for (ServeProcess instance : instances) {
            instance.awaitReady();
        }
    }

    private void stopAll() throws InterruptedException {
        injector.recordUnfinishedUpgrades();
        for (ServeProcess instance : instances) {
            instance.terminateIfRunning();
        }
        for (ServeProcess instance : instances) {
            instance.awaitExit();
        }
    }

    private void watchLateness() {
        SoakThreads.start("lateness", () -> {
            while (!ended.get()) {
                double before = history.now();
                Thread.sleep(LATENESS_INTERVAL_MS);
                lateness = Math.max(lateness, history.now() - before - LATENESS_INTERVAL_MS);
            }
        });
    }

    private void readLogs() throws IOException {
        try (Stream<Path> files = Files.list(folder).filter(file -> file.toString().endsWith(".log"))) {
            for (Path log : files.toList()) {
                try (Stream<String> lines = Files.lines(log)) {
                    lines.filter(line -> FAULT_LINE.matcher(line).find()).limit(MAX_FAULT_LINES)
                        .forEach(line -> history.add(new SoakHistory.FaultLogged(log.getFileName() + ": " + line)));
                }
            }
        }
    }

    private void report(SoakHistory complete) {
        long served = complete.all(RequestEnded.class).stream().filter(end -> end.outcome() == Outcome.SERVED).count();
        out.printf("%d requests, %d served, %d attempts, %d versions, %d lives, threads late by %.0f ms at most%n",
            complete.all(RequestSent.class).size(), served, complete.all(AttemptArrived.class).size(),
            complete.all(ListChanged.class).size(), complete.all(Incarnation.class).size(), lateness);
        if (lateness > MAX_LATENESS_MS) {
            out.println("the machine was too slow to check times");
        }
    }

    @Override public void close() throws Exception {
        ended.set(true);
        for (ServeProcess instance : instances) {
            instance.close();
        }
        discovery.close();
        for (SoakNode node : nodes) {
            node.close();
        }
    }
}
