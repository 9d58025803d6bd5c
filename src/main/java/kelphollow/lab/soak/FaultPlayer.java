package kelphollow.lab.soak;

import java.io.IOException;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import kelphollow.lab.soak.SoakDiscovery.ListedNode;

/** Plays faults at their times against the parties of a run, and ends each in its time. For one thread. */
final class FaultPlayer {
    /** The list loses a dead node so long after it died, in milliseconds. */
    private static final double LIST_DELAY = 1_500;
    private static final double RESTART_POLL = 50;
    private static final double SLOW_CALLS_PART = 5;
    private static final double MILLIS_PER_SECOND = 1_000;

    private record DueTask(double at, SoakThreads.Task task) {}

    private final Soak.Plan plan;
    private final SoakHistory history;
    private final SoakDiscovery discovery;
    private final List<SoakNode> nodes;
    private final List<ServeProcess> instances;
    private final Random random;
    private final PriorityQueue<DueTask> dueTasks = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));

    FaultPlayer(Soak.Plan plan, SoakHistory history, SoakDiscovery discovery, List<SoakNode> nodes,
        List<ServeProcess> instances, Random random) {
        this.plan = plan;
        this.history = history;
        this.discovery = discovery;
        this.nodes = nodes;
        this.instances = instances;
        this.random = random;
    }

    /** Plays these from now on, until the plan's time is over; then discovery and the nodes are sound again. */
    void play(List<SoakFaults.Step> steps) throws Exception {
        double began = history.now();
        for (SoakFaults.Step step : steps) {
            dueTasks.add(new DueTask(began + step.at(), () -> begin(step)));
        }
        double until = began + plan.seconds() * MILLIS_PER_SECOND;
        while (history.now() < until) {
            DueTask next = dueTasks.peek();
            double wait = Math.min(until, next == null ? until : next.at) - history.now();
            if (wait > 0) {
                Thread.sleep((long) Math.ceil(wait));
            } else {
                dueTasks.poll().task.run();
            }
        }
        discovery.comeBack();
        for (SoakNode node : nodes) {
            node.mode(SoakNode.Mode.SERVES);
        }
    }

    private void later(double millis, SoakThreads.Task task) {
        dueTasks.add(new DueTask(history.now() + millis, task));
    }

    /** Writes the file of an instance, with another address of discovery. */
    void configure(int instance) throws IOException {
        instances.get(instance).configure(discovery.addressFor(instance), discovery.lastHad(instance),
            random.nextLong() & Long.MAX_VALUE);
    }

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
                discovery.serve(Math.max(1, plan.instances() / SLOW_CALLS_PART));
                later(lasts, () -> discovery.serve(Double.POSITIVE_INFINITY));
            }
            case WATCH_SILENT -> discovery.silence(target);
            case RESPONSES_TRUNCATED -> {
                discovery.truncate(target, true);
                later(lasts / 2, () -> discovery.truncate(target, false));
            }
            case NODE_DRAINS -> drain(nodes.get(target), lasts);
            case NODE_DIES -> die(nodes.get(target), lasts);
            case ZONE_LOST -> loseZone(target, lasts);
            case NODE_HANGS -> mode(nodes.get(target), SoakNode.Mode.HANGS, lasts);
            case NODE_RESETS -> mode(nodes.get(target), SoakNode.Mode.RESETS, lasts);
            case NODE_ERRS -> mode(nodes.get(target), SoakNode.Mode.FAILS, lasts);
            case NODE_BUSY -> mode(nodes.get(target), SoakNode.Mode.REJECTS, lasts);
            case NODE_SEGMENTS -> mode(nodes.get(target), SoakNode.Mode.SERVES_IN_SEGMENTS, lasts);
            default -> throw new IllegalStateException(step.toString());
        }
    }

    // ---------------------------------------------------------------- instances

    private void kill(int target, double away) throws Exception {
        ServeProcess instance = instances.get(target);
        if (instance.isServing()) {
            instance.kill();
            later(away, () -> restart(target));
        }
    }

    private void restart(int target) throws IOException {
        configure(target);
        instances.get(target).start();
    }

    private void term(int target) {
        ServeProcess instance = instances.get(target);
        if (instance.isServing()) {
            instance.term();
            later(RESTART_POLL, () -> startOnceEnded(target));
        }
    }

    private void startOnceEnded(int target) throws Exception {
        if (instances.get(target).hasEnded()) {
            restart(target);
        } else {
            later(RESTART_POLL, () -> startOnceEnded(target));
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
            history.add(new SoakHistory.DiscoveryMoved(history.now(), target));
        }
    }

    // ---------------------------------------------------------------- nodes

    private void mode(SoakNode node, SoakNode.Mode mode, double lasts) {
        node.mode(mode);
        later(lasts, () -> node.mode(SoakNode.Mode.SERVES));
    }

    private void list(SoakNode node, SoakDiscovery.Health health, long startedAt) {
        discovery.change(List.of(ListedNode.of(node, health, startedAt)));
    }

    private void drain(SoakNode node, double lasts) {
        list(node, SoakDiscovery.Health.DRAINING, 0);
        later(lasts / 2, () -> list(node, SoakDiscovery.Health.REMOVED, 0));
        later(lasts, () -> list(node, SoakDiscovery.Health.READY, System.currentTimeMillis()));
    }

    private void die(SoakNode node, double lasts) throws IOException {
        node.close();
        later(LIST_DELAY, () -> list(node, SoakDiscovery.Health.REMOVED, 0));
        later(LIST_DELAY + lasts, () -> {
            node.close();
            node.start();
            list(node, SoakDiscovery.Health.READY, System.currentTimeMillis());
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
}
