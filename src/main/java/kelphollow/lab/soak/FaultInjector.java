package kelphollow.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import kelphollow.lab.soak.SoakDiscovery.ListedNode;

/** Injects the faults of a run at their times and ends each after its duration. Not thread-safe. */
final class FaultInjector {
    /** Time from the death of a node to its removal from the list. */
    private static final double REMOVAL_DELAY_MS = 1_500;
    private static final double RESTART_POLL_MS = 50;
    private static final double INSTANCES_PER_SLOW_CALL = 5;
    private static final double MILLIS_PER_SECOND = 1_000;
    /** Time within which the new process of an upgrade must be ready. */
    private static final double READY_LIMIT_MS = 6_000;
    private static final double SECOND_SIGNAL_DELAY_MS = 100;

    /** Signals at the end of an upgrade. */
    private enum SignalSeries {
        /** SIGTERM to the old process. */
        TERM,
        /** SIGHUP right before SIGTERM, both to the old process. */
        RELOAD_THEN_TERM,
        /** SIGTERM twice. */
        TERM_TWICE,
        /** SIGTERM, and the next upgrade as soon as the old process has exited. */
        TERM_THEN_NEXT_UPGRADE
    }

    private record DueTask(double at, SoakThreads.Task task) {}

    private final Soak.Plan plan;
    private final Soak.Variant variant;
    private final SoakHistory history;
    private final SoakDiscovery discovery;
    private final List<SoakNode> nodes;
    private final List<ServeProcess> instances;
    private final Random random;
    /** Instances whose new process has not reported that it is ready. */
    private final Set<Integer> unfinishedUpgrades = new HashSet<>();
    /** The discovery address of each instance. */
    private final Map<Integer, InetSocketAddress> addresses = new HashMap<>();
    private final PriorityQueue<DueTask> dueTasks = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));

    FaultInjector(Soak.Plan plan, Soak.Variant variant, SoakHistory history, SoakDiscovery discovery, List<SoakNode> nodes,
        List<ServeProcess> instances, Random random) {
        this.plan = plan;
        this.variant = variant;
        this.history = history;
        this.discovery = discovery;
        this.nodes = nodes;
        this.instances = instances;
        this.random = random;
    }

    /** Injects the faults for the duration of the plan, then restores discovery and the nodes. */
    void inject(List<SoakFaults.Step> steps) throws Exception {
        double start = history.now();
        for (SoakFaults.Step step : steps) {
            dueTasks.add(new DueTask(start + step.at(), () -> begin(step)));
        }
        double until = start + plan.seconds() * MILLIS_PER_SECOND;
        while (history.now() < until) {
            DueTask next = dueTasks.peek();
            double wait = Math.min(until, next == null ? until : next.at) - history.now();
            if (wait > 0) {
                Thread.sleep((long) Math.ceil(wait));
            } else {
                dueTasks.poll().task.run();
            }
        }
        discovery.recover();
        for (SoakNode node : nodes) {
            node.setMode(SoakNode.Mode.SERVES);
        }
    }

    private void schedule(double millis, SoakThreads.Task task) {
        dueTasks.add(new DueTask(history.now() + millis, task));
    }

    /** Writes the configuration file of an instance with a new discovery address. */
    void configure(int instance) throws IOException {
        InetSocketAddress address = discovery.addressFor(instance);
        addresses.put(instance, address);
        instances.get(instance).configure(address, discovery.lastListOf(instance), random.nextLong() & Long.MAX_VALUE);
    }

    private void begin(SoakFaults.Step step) throws Exception {
        int target = step.target();
        double duration = step.duration();
        switch (step.kind()) {
            case KILL -> kill(target, duration);
            case TERM -> terminate(target);
            case STALL -> stall(target, duration);
            case MOVE -> move(target);
            case MOVE_TWICE -> {
                move(target);
                schedule(duration, () -> move(target));
            }
            case DISCOVERY_DOWN -> {
                discovery.goDown();
                schedule(duration, discovery::recover);
            }
            case DISCOVERY_SLOW -> {
                discovery.setCallRate(Math.max(1, plan.instances() / INSTANCES_PER_SLOW_CALL));
                schedule(duration, () -> discovery.setCallRate(Double.POSITIVE_INFINITY));
            }
            case WATCH_SILENT -> discovery.silenceWatches(target);
            case RESPONSES_TRUNCATED -> {
                discovery.truncate(target, true);
                schedule(duration / 2, () -> discovery.truncate(target, false));
            }
            case NODE_DRAINS -> drainNode(nodes.get(target), duration);
            case NODE_DIES -> failNode(nodes.get(target), duration);
            case ZONE_LOST -> loseZone(target, duration);
            case NODE_HANGS -> setMode(nodes.get(target), SoakNode.Mode.HANGS, duration);
            case NODE_RESETS -> setMode(nodes.get(target), SoakNode.Mode.RESETS, duration);
            case NODE_ERRS -> setMode(nodes.get(target), SoakNode.Mode.FAILS, duration);
            case NODE_BUSY -> setMode(nodes.get(target), SoakNode.Mode.REJECTS, duration);
            case NODE_SEGMENTS -> setMode(nodes.get(target), SoakNode.Mode.SERVES_IN_SEGMENTS, duration);
            default -> throw new IllegalStateException(step.toString());
        }
    }

    // ---------------------------------------------------------------- instances

    private void kill(int target, double downtime) throws Exception {
        ServeProcess instance = instances.get(target);
        if (variant.upgrades()) {
            upgrade(target);
        } else if (instance.isServing()) {
            instance.kill();
            schedule(downtime, () -> restart(target));
        }
    }

    private void restart(int target) throws IOException, InterruptedException {
        configure(target);
        instances.get(target).start();
    }

    private void terminate(int target) throws Exception {
        ServeProcess instance = instances.get(target);
        if (variant.upgrades()) {
            upgrade(target);
        } else if (instance.isServing()) {
            instance.terminate();
            schedule(RESTART_POLL_MS, () -> startOnceExited(target));
        }
    }

    private void startOnceExited(int target) throws Exception {
        if (instances.get(target).hasExited()) {
            restart(target);
        } else {
            schedule(RESTART_POLL_MS, () -> startOnceExited(target));
        }
    }

    private void stall(int target, double duration) throws Exception {
        ServeProcess instance = instances.get(target);
        if (instance.isServing()) {
            instance.signal("STOP");
            Thread.sleep((long) duration);
            instance.signal("CONT");
        }
    }

    private void move(int target) throws Exception {
        ServeProcess instance = instances.get(target);
        if (instance.isServing() && !instance.isUpgrading()) {
            configure(target);
            instance.signal("HUP");
            history.add(new SoakHistory.DiscoveryMoved(history.now(), target));
        }
    }

    // ---------------------------------------------------------------- upgrades

    private void upgrade(int target) throws Exception {
        ServeProcess instance = instances.get(target);
        if (instance.isServing() && !instance.isUpgrading()) {
            instance.configure(addresses.get(target), discovery.lastListOf(target), random.nextLong() & Long.MAX_VALUE);
            instance.startSuccessor();
            unfinishedUpgrades.add(target);
            SignalSeries[] all = SignalSeries.values();
            SignalSeries series = all[random.nextInt(all.length)];
            schedule(RESTART_POLL_MS, () -> endUpgradeOnceReady(target, series));
        }
    }

    private void endUpgradeOnceReady(int target, SignalSeries series) throws Exception {
        ServeProcess instance = instances.get(target);
        boolean overdue = history.now() > instance.startedAt() + READY_LIMIT_MS;
        if (!overdue && !instance.reportsReady()) {
            schedule(RESTART_POLL_MS, () -> endUpgradeOnceReady(target, series));
            return;
        }
        if (overdue) {
            history.add(new SoakHistory.FaultLogged("n" + target + ": the new process is not ready in time"));
        }
        unfinishedUpgrades.remove(target);
        history.add(new SoakHistory.Upgrade(target, instance.startedAt(), history.now()));
        if (series == SignalSeries.RELOAD_THEN_TERM) {
            instance.signalPredecessor("HUP");
        }
        instance.terminatePredecessor();
        if (series == SignalSeries.TERM_TWICE) {
            Thread.sleep((long) SECOND_SIGNAL_DELAY_MS);
            instance.signalPredecessor("TERM");
        }
        schedule(RESTART_POLL_MS, () -> awaitPredecessorExit(target, series));
    }

    /** Records the upgrades whose new process was not ready at the end of the run. */
    void recordUnfinishedUpgrades() {
        for (int target : unfinishedUpgrades) {
            history.add(new SoakHistory.Upgrade(target, instances.get(target).startedAt(), Double.POSITIVE_INFINITY));
        }
    }

    private void awaitPredecessorExit(int target, SignalSeries series) throws Exception {
        if (!instances.get(target).hasPredecessorExited()) {
            schedule(RESTART_POLL_MS, () -> awaitPredecessorExit(target, series));
        } else if (series == SignalSeries.TERM_THEN_NEXT_UPGRADE) {
            upgrade(target);
        }
    }

    // ---------------------------------------------------------------- nodes

    private void setMode(SoakNode node, SoakNode.Mode mode, double duration) {
        node.setMode(mode);
        schedule(duration, () -> node.setMode(SoakNode.Mode.SERVES));
    }

    private void setHealth(SoakNode node, SoakDiscovery.Health health, long startedAt) {
        discovery.change(List.of(ListedNode.of(node, health, startedAt)));
    }

    private void drainNode(SoakNode node, double duration) {
        setHealth(node, SoakDiscovery.Health.DRAINING, 0);
        schedule(duration / 2, () -> setHealth(node, SoakDiscovery.Health.REMOVED, 0));
        schedule(duration, () -> setHealth(node, SoakDiscovery.Health.READY, System.currentTimeMillis()));
    }

    private void failNode(SoakNode node, double duration) throws IOException {
        node.close();
        schedule(REMOVAL_DELAY_MS, () -> setHealth(node, SoakDiscovery.Health.REMOVED, 0));
        schedule(REMOVAL_DELAY_MS + duration, () -> {
            node.close();
            node.start();
            setHealth(node, SoakDiscovery.Health.READY, System.currentTimeMillis());
        });
    }

    private void loseZone(int first, double duration) throws Exception {
        for (int i = 0; i < plan.instances() / 3; i++) {
            kill((first + i) % plan.instances(), duration);
        }
        for (int i = 0; i < plan.nodes() / 3; i++) {
            failNode(nodes.get((first + i) % plan.nodes()), duration);
        }
    }
}
