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

/** One run: starts all parties, plays the faults at their times, stops everything, and has the history judged. */
public final class Soak implements AutoCloseable {
    /** What is played; {@code seconds} of faults and load, beside the starts and the end. */
    public record Plan(long seed, int instances, int nodes, int seconds, boolean pushed) {}

    /** No rule was broken. */
    public static final int PASS = 0;
    /** A rule was broken. */
    public static final int BROKEN = 1;
    private static final int CLIENTS = 3;
    private static final int PRINTED_BREACHES = 20;
    private static final int FAULT_LINES = 5;
    private static final int LATENESS_INTERVAL_MS = 10;
    /** How late the threads of this process may be before the run says nothing, in milliseconds. */
    private static final double MAX_LATENESS = 250;
    /** What is granted to the machine anyway, in milliseconds. */
    private static final double SLACK = 120;
    private static final Pattern FAULT = Pattern.compile("invariant broken|AssertionError|Exception|SEVERE");

    private final Plan plan;
    private final Path folder;
    private final PrintStream out;
    private final SoakHistory history = new SoakHistory();
    private final SoakDiscovery discovery;
    private final List<SoakNode> nodes = new ArrayList<>();
    private final List<ServeProcess> instances = new ArrayList<>();
    private final FaultPlayer faults;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile double lateness;

    private Soak(Plan plan, Path folder, PrintStream out) throws IOException {
        this.plan = plan;
        this.folder = folder;
        if (Files.exists(folder)) {
            throw new IOException(folder + " is there already");
        }
        Files.createDirectories(folder);
        this.out = out;
        this.discovery = new SoakDiscovery(history, new Random(plan.seed() + 1));
        this.faults = new FaultPlayer(plan, history, discovery, nodes, instances, new Random(plan.seed() ^ 0x5eedL));
        history.setPushed(plan.pushed());
    }

    /** Plays a run and prints what it found; the result is {@link #PASS} or {@link #BROKEN}. */
    public static int run(Plan plan, Path folder, PrintStream out) throws Exception {
        List<SoakChecker.Breach> breaches;
        try (Soak soak = new Soak(plan, folder, out)) {
            breaches = soak.play();
        }
        breaches.stream().limit(PRINTED_BREACHES).forEach(out::println);
        out.println(plan + ": " + (breaches.isEmpty() ? "no rule broken" : breaches.size() + " breaches"));
        return breaches.isEmpty() ? PASS : BROKEN;
    }

    private List<SoakChecker.Breach> play() throws Exception {
        watchLateness();
        startAll();
        SoakClients clients = new SoakClients(history, plan.nodes());
        for (int i = 0; i < plan.instances(); i++) {
            clients.start(i, instances.get(i).address(), CLIENTS, plan.seed() * 1_000 + i);
        }
        faults.play(SoakFaults.draw(plan.seed(), plan.seconds(), plan.instances(), plan.nodes(), plan.pushed()));
        clients.close();
        discovery.comeBack();
        endAll();
        ended.set(true);
        readLogs();
        SoakHistory complete = history.snapshot();
        report(complete);
        return SoakChecker.judge(complete, SLACK + lateness);
    }

    private void startAll() throws Exception {
        for (int i = 0; i < plan.nodes(); i++) {
            nodes.add(new SoakNode("s-" + i, i, history, new Random(plan.seed() * 7 + i)));
        }
        discovery.change(nodes.stream().map(node -> ListedNode.of(node, Health.READY, 0)).toList());
        for (int i = 0; i < plan.instances(); i++) {
            instances.add(new ServeProcess(folder, i, ServeProcess.settings(plan.instances(), plan.pushed()), history));
            faults.configure(i);
            instances.get(i).start();
        }
        for (ServeProcess instance : instances) {
            instance.awaitReady();
        }
    }

    private void endAll() throws InterruptedException {
        for (ServeProcess instance : instances) {
            instance.termIfServing();
        }
        for (ServeProcess instance : instances) {
            instance.awaitEnd();
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
                    lines.filter(line -> FAULT.matcher(line).find()).limit(FAULT_LINES)
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
        if (lateness > MAX_LATENESS) {
            out.println("the machine was too slow for a judgement of times");
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
