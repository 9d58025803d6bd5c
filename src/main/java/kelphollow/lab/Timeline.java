package kelphollow.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Plays the steps of one scenario against its parties, one after the other. */
final class Timeline {
    private static final long POLL_MS = 20;
    private static final double AGREEMENT_TIMEOUT = 60_000;
    private static final int OK = 200;

    private final Scenario scenario;
    private final History history;
    private final FakeNodes nodes;
    private final FakeControlPlane controlPlane;
    private final Instances instances;
    private final Clients clients;
    private final Map<String, Set<String>> drained = new HashMap<>();

    Timeline(Scenario scenario, History history, FakeNodes nodes, FakeControlPlane controlPlane, Instances instances,
        Clients clients) {
        this.scenario = scenario;
        this.history = history;
        this.nodes = nodes;
        this.controlPlane = controlPlane;
        this.instances = instances;
        this.clients = clients;
    }

    /** Starts all parties and plays until the last step, or the first that waits in vain, and until all agree again. */
    void play() throws IOException, InterruptedException {
        noteSettings();
        for (String name : instances.names()) {
            instances.get(name).start(0);
        }
        boolean asPlanned = await(Scenario.Step.agree(AGREEMENT_TIMEOUT), -1, 0);
        clients.start();
        double lastStep = 0;
        for (int i = 0; asPlanned && i < scenario.steps().size(); i++) {
            Scenario.Step step = scenario.steps().get(i);
            asPlanned = await(step, i, lastStep);
            if (asPlanned) {
                lastStep = history.now();
                act(step);
            }
        }
        clients.finish();
        settle();
    }

    private void noteSettings() {
        history.add(HistoryLine.LAB, "findings", "shared", scenario.sharesFindings());
        history.add(HistoryLine.LAB, "shed", "shared", scenario.shedsLoad());
        history.add(HistoryLine.LAB, "repeats", "share", scenario.retryShare());
        history.add(HistoryLine.LAB, "limit", "rate", scenario.limit().rate(), "burst", scenario.limit().burst(),
            "slack", scenario.limit().slack());
    }

    /** Waits for what the step names, seen since {@code from}; false if it has not come in time. */
    private boolean await(Scenario.Step step, int number, double from) throws IOException, InterruptedException {
        double began = history.now();
        while (history.now() < began + step.within()) {
            instances.observe();
            if (hasCome(step, from, began)) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        history.add(HistoryLine.LAB, "missed", "step", number, "wait", step.until().name(), "event", step.event(), "of",
            step.of());
        return false;
    }

    private boolean hasCome(Scenario.Step step, double from, double began) {
        return switch (step.until()) {
            case AGREE -> instances.agree(false);
            case SEEN -> history.count(from, line -> line.isEvent(step.event())
                && (step.of().isEmpty() || step.of().equals(line.text("of")))) >= step.count();
            case SERVED -> history.count(began, line -> line.is("answer") && line.integer("status") == OK) >= step.count();
            case AFTER -> history.now() - began >= step.count();
        };
    }

    private void act(Scenario.Step step) throws IOException, InterruptedException {
        List<String> others = new ArrayList<>(instances.names());
        others.removeAll(step.who());
        List<String> from = step.from().isEmpty() ? others : step.from();
        switch (step.action()) {
            case CUT -> instances.network().cut(step.who(), from, step.oneWay(), true);
            case HEAL -> instances.network().cut(instances.names(), instances.names(), false, false);
            case NET -> instances.network().setQuality(step.link());
            case NOISE -> instances.network().noise(step.who());
            case REPLAY -> instances.network().replay(step.who());
            case DISCOVERY_DOWN -> controlPlane.setUp(false);
            case DISCOVERY_UP -> controlPlane.setUp(true);
            case LOAD -> clients.load(step.by());
            case NOTHING -> history.add(HistoryLine.LAB, "nothing");
            default -> {
                for (String target : step.who()) {
                    act(step, target);
                }
            }
        }
    }

    private void act(Scenario.Step step, String target) throws IOException, InterruptedException {
        switch (step.action()) {
            case KILL -> instances.get(target).kill();
            case STOP -> instances.get(target).stop();
            case CONT -> instances.get(target).resume();
            case RESTART -> instances.get(target).restart(step.lostStore(), step.clockOff());
            case LEAVE -> instances.get(target).leave();
            case STARVE -> instances.starve(target);
            case FEED -> instances.get(target).feed();
            case SLOW_NODE -> nodes.slowDown(target, step.by());
            case SILENT_NODE -> nodes.behave(target, FakeNodes.Behavior.UNRESPONSIVE);
            case FAILING_NODE -> nodes.behave(target, FakeNodes.Behavior.FAILING);
            case NODE_BACK -> nodes.behave(target, FakeNodes.Behavior.HEALTHY);
            case DRAIN, UNDRAIN -> drain(step, target);
            default -> throw new IllegalStateException("no action on one party: " + step.action());
        }
    }

    private void drain(Scenario.Step step, String instance) {
        Set<String> draining = drained.computeIfAbsent(instance, name -> new HashSet<>());
        if (step.action() == Scenario.Action.DRAIN) {
            draining.addAll(step.from());
        } else {
            draining.removeAll(step.from());
        }
        controlPlane.drain(instance, draining);
    }

    /** The end: all that run must come to see each other and stay so; what each sees is noted once. */
    private void settle() throws IOException, InterruptedException {
        double until = history.now() + AGREEMENT_TIMEOUT;
        double agreeSince = Double.NaN;
        while (history.now() < until && !(history.now() - agreeSince >= scenario.calm())) {
            instances.observe();
            if (!instances.agree(false)) {
                agreeSince = Double.NaN;
            } else if (Double.isNaN(agreeSince)) {
                agreeSince = history.now();
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        instances.observe();
        instances.agree(true);
    }
}
