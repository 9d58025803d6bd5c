package kelphollow.lab.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import kelphollow.lab.soak.SoakDiscovery.Row;

/** One run: starts all parties, plays the faults at their times, stops everything, and has the history judged. */
public final class Soak implements AutoCloseable {
    /** What is played; {@code seconds} of faults and load, beside the starts and the end. */
    public record Plan(long seed, int instances, int nodes, int seconds, boolean pushed) {}

    /** No rule was broken. */
    public static final int PASS = 0;
    /** A rule was broken. */
    public static final int BROKEN = 1;
    private static final int CLIENTS = 3;
    /** The list loses a dead node so long after it died, in milliseconds. */
    private static final double LIST_LATE = 1_500;
    /** How late the stand-ins' own threads may be before the run says nothing, in milliseconds. */
    private static final double MOST_LATE = 250;
    /** What is granted to the machine anyway, in milliseconds. */
    private static final double SLACK = 120;
    private static final Pattern FAULT = Pattern.compile("invariant broken|AssertionError|Exception|SEVERE");

    private final Plan plan;
    private final Path folder;
    private final PrintStream out;
    private final Random random;
    private final SoakHistory history = new SoakHistory();
    private final SoakDiscovery discovery;
    private final List<SoakNode> nodes = new ArrayList<>();
    private final List<ServeProcess> instances = new ArrayList<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile double latest;

    private record Due(double at, SoakThreads.Task task) {}

    private Soak(Plan plan, Path folder, PrintStream out) throws IOException {
        this.plan = plan;
        this.folder = folder;
        if (Files.exists(folder)) {
            throw new IOException(folder + " is there already");
        }
        Files.createDirectories(folder);
        this.out = out;
        this.random = new Random(plan.seed() ^ 0x5eedL);
        this.discovery = new SoakDiscovery(history, new Random(plan.seed() + 1));
        history.pushed = plan.pushed();
    }

    /** Plays a run and prints what it found; the result is {@link #PASS} or {@link #BROKEN}. */
    public static int run(Plan plan, Path folder, PrintStream out) throws Exception {
        List<SoakChecker.Breach> breaches;
        try (Soak soak = new Soak(plan, folder, out)) {
            breaches = soak.play();
        }
        breaches.stream().limit(20).forEach(out::println);
        out.println(plan + ": " + (breaches.isEmpty() ? "no rule broken" : breaches.size() + " breaches"));
        return breaches.isEmpty() ? PASS : BROKEN;
    }

    private List<SoakChecker.Breach> play() throws Exception {
        watchOwnLateness();
        for (int i = 0; i < plan.nodes(); i++) {
            nodes.add(new SoakNode("s-" + i, i, history, new Random(plan.seed() * 7 + i)));
        }
        discovery.change(nodes.stream().map(n -> row(n, "ready", 0)).toList());
        for (int i = 0; i < plan.instances(); i++) {
            instances.add(new ServeProcess(folder, i, ServeProcess.settings(plan.instances(), plan.pushed()), history));
            configure(i);
            instances.get(i).start();
        }
        for (ServeProcess instance : instances) {
            instance.awaitReady();
        }
        SoakClients clients = new SoakClients(history, plan.nodes());
        for (int i = 0; i < plan.instances(); i++) {
            clients.start(i, instances.get(i).address(), CLIENTS, plan.seed() * 1_000 + i);
        }
        double began = history.now();
        for (SoakFaults.Step step : draw()) {
            dues.add(new Due(began + step.at(), () -> begin(step)));
        }
        playDues(began + plan.seconds() * 1_000.0);
        clients.close();
        discovery.comeBack();
        for (ServeProcess instance : instances) {
            instance.termIfServing();
        }
        for (ServeProcess instance : instances) {
            instance.awaitEnd();
        }
        ended.set(true);
        lookThroughLogs();
        SoakHistory whole = history.snapshot();
        report(whole);
        return SoakChecker.judge(whole, SLACK + latest);
    }

    private List<SoakFaults.Step> draw() {
        return SoakFaults.draw(plan.seed(), plan.seconds(), plan.instances(), plan.nodes(), plan.pushed());
    }

    private void watchOwnLateness() {
        SoakThreads.start("lateness", () -> {
            while (!ended.get()) {
                double before = history.now();
                Thread.sleep(10);
                latest = Math.max(latest, history.now() - before - 10);
            }
        });
    }

    private void playDues(double until) throws Exception {
        while (history.now() < until) {
            Due next = dues.peek();
            double wait = Math.min(until, next == null ? until : next.at) - history.now();
            if (wait > 0) {
                Thread.sleep((long) Math.ceil(wait));
            } else {
                dues.poll().task.run();
            }
        }
        discovery.comeBack();
        for (SoakNode node : nodes) {
            node.mode(SoakNode.Mode.SERVES);
        }
    }

    private void later(double millis, SoakThreads.Task task) {
        dues.add(new Due(history.now() + millis, task));
    }

    private static Row row(SoakNode node, String health, long born) {
        return new Row(node.name, node.address(), node.block, health, born);
    }

    private void configure(int instance) throws IOException {
        instances.get(instance).configure(discovery.addressFor(instance), discovery.lastHad(instance),
            random.nextLong() & Long.MAX_VALUE);
    }

    // ---------------------------------------------------------------- faults

    private void begin(SoakFaults.Step step) throws Exception {
        int target = step.target();
        double lasts = step.lasts();
        switch (step.kind()) {
            case KILL -> kill(target, lasts);
            case TERM -> term(target);
            case STALL -> stall(target, lasts);
            case MOVE -> move(target);
            case MOVE_TWICE -> {
                move(target);
                later(lasts, () -> move(target));
            }
            case DISCOVERY_DOWN -> {
                discovery.goDown();
                later(lasts, discovery::comeBack);
            }
            case DISCOVERY_SLOW -> {
                discovery.serve(Math.max(1, plan.instances() / 5.0));
                later(lasts, () -> discovery.serve(Double.POSITIVE_INFINITY));
            }
            case WATCH_SILENT -> discovery.silence(target);
            case ANSWERS_CUT -> {
                discovery.cut(target, true);
                later(lasts / 2, () -> discovery.cut(target, false));
            }
            case NODE_DRAINS -> drain(nodes.get(target), lasts);
            case NODE_DIES -> die(nodes.get(target), lasts);
            case ZONE_LOST -> loseZone(target, lasts);
            case NODE_HANGS -> mode(nodes.get(target), SoakNode.Mode.HANGS, lasts);
            case NODE_RESETS -> mode(nodes.get(target), SoakNode.Mode.RESETS, lasts);
            case NODE_ERRS -> mode(nodes.get(target), SoakNode.Mode.ANSWERS_ERRORS, lasts);
            case NODE_BUSY -> mode(nodes.get(target), SoakNode.Mode.TURNS_AWAY, lasts);
            case NODE_HALVES -> mode(nodes.get(target), SoakNode.Mode.ANSWERS_IN_HALVES, lasts);
            default -> throw new IllegalStateException(step.toString());
        }
    }

    private void mode(SoakNode node, SoakNode.Mode mode, double lasts) {
        node.mode(mode);
        later(lasts, () -> node.mode(SoakNode.Mode.SERVES));
    }

    private void kill(int target, double away) throws Exception {
        ServeProcess instance = instances.get(target);
        if (instance.isServing()) {
            instance.kill();
            later(away, () -> restart(target));
        }
    }

    private void restart(int target) throws Exception {
        configure(target);
        instances.get(target).start();
    }

    private void term(int target) throws Exception {
        ServeProcess instance = instances.get(target);
        if (instance.isServing()) {
            instance.term();
            later(50, () -> startOnceEnded(target));
        }
    }

    private void startOnceEnded(int target) throws Exception {
        if (instances.get(target).hasEnded()) {
            restart(target);
        } else {
            later(50, () -> startOnceEnded(target));
        }
    }

    private void stall(int target, double lasts) throws Exception {
        ServeProcess instance = instances.get(target);
        if (instance.isServing()) {
            instance.signal("STOP");
            Thread.sleep((long) lasts);
            instance.signal("CONT");
        }
    }

    private void move(int target) throws Exception {
        ServeProcess instance = instances.get(target);
        if (instance.isServing()) {
            configure(target);
            instance.signal("HUP");
            history.add(new SoakHistory.Moved(history.now(), target));
        }
    }

    private void drain(SoakNode node, double lasts) {
        discovery.change(List.of(row(node, "draining", 0)));
        later(lasts / 2, () -> discovery.change(List.of(row(node, "gone", 0))));
        later(lasts, () -> discovery.change(List.of(row(node, "ready", System.currentTimeMillis()))));
    }

    private void die(SoakNode node, double lasts) throws IOException {
        node.close();
        later(LIST_LATE, () -> discovery.change(List.of(row(node, "gone", 0))));
        later(LIST_LATE + lasts, () -> {
            node.close();
            node.start();
            discovery.change(List.of(row(node, "ready", System.currentTimeMillis())));
        });
    }

    private void loseZone(int first, double lasts) throws Exception {
        for (int i = 0; i < plan.instances() / 3; i++) {
            kill((first + i) % plan.instances(), lasts);
        }
        for (int i = 0; i < plan.nodes() / 3; i++) {
            die(nodes.get((first + i) % plan.nodes()), lasts);
        }
    }

    // ---------------------------------------------------------------- the end

    private void lookThroughLogs() throws IOException {
        try (Stream<Path> logs = Files.list(folder).filter(f -> f.toString().endsWith(".log"))) {
            for (Path log : logs.toList()) {
                try (Stream<String> lines = Files.lines(log)) {
                    lines.filter(l -> FAULT.matcher(l).find()).limit(5)
                        .forEach(l -> history.faultLines.add(log.getFileName() + ": " + l));
                }
            }
        }
    }

    private void report(SoakHistory whole) {
        long served = whole.ends.stream().filter(e -> e.end() == SoakHistory.End.SERVED).count();
        out.printf("%d requests, %d served, %d attempts, %d versions, %d lives, threads late by %.0f ms at most%n",
            whole.asked.size(), served, whole.arrivals.size(), whole.changes.size(), whole.lives.size(), latest);
        if (latest > MOST_LATE) {
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
