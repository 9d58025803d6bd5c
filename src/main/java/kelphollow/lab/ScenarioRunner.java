package kelphollow.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Runs the steps of one scenario, one after the other. */
final class ScenarioRunner {
    private static final long POLL_MS = 20;
    private static final double AGREEMENT_TIMEOUT_MS = 60_000;
    private static final int STATUS_OK = 200;

    private final Scenario scenario;
    private final History history;
    private final FakeNodes nodes;
    private final FakeControlPlane controlPlane;
    private final Instances instances;
    private final Clients clients;
    private final Map<String, Set<String>> drainingNodes = new HashMap<>();

    ScenarioRunner(Scenario scenario, History history, FakeNodes nodes, FakeControlPlane controlPlane, Instances instances,
        Clients clients) {
        this.scenario = scenario;
        this.history = history;
        this.nodes = nodes;
        this.controlPlane = controlPlane;
        this.instances = instances;
        this.clients = clients;
    }

    /** Starts all parties, runs the steps up to the last one or the first that times out, and waits until all agree. */
    void run() throws IOException, InterruptedException {
        recordSettings();
        for (String name : instances.names()) {
            instances.get(name).start(0);
        }
        boolean conditionMet = awaitCondition(Scenario.Step.agree(AGREEMENT_TIMEOUT_MS), -1, 0);
        clients.start();
        double lastStep = 0;
        for (int i = 0; conditionMet && i < scenario.steps().size(); i++) {
            Scenario.Step step = scenario.steps().get(i);
            conditionMet = awaitCondition(step, i, lastStep);
            if (conditionMet) {
                lastStep = history.now();
                apply(step);
            }
        }
        clients.finish();
        awaitAgreement();
    }

    private void recordSettings() {
        history.add(HistoryLine.LAB, "findings", "shared", scenario.sharesFindings());
        history.add(HistoryLine.LAB, "shed", "shared", scenario.shedsLoad());
        history.add(HistoryLine.LAB, "repeats", "share", scenario.retryShare());
        history.add(HistoryLine.LAB, "limit", "rate", scenario.limit().rate(), "burst", scenario.limit().burst(),
            "slack", scenario.limit().slack());
    }

    /** Waits for the condition of a step, counting events since {@code from}; false if it times out. */
    private boolean awaitCondition(Scenario.Step step, int number, double from) throws IOException, InterruptedException {
        double waitStart = history.now();
        while (history.now() < waitStart + step.timeout()) {
            instances.collectEvents();
            if (isMet(step, from, waitStart)) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        history.add(HistoryLine.LAB, "missed", "step", number, "wait", step.condition().name(), "event", step.event(), "of",
            step.of());
        return false;
    }

    private boolean isMet(Scenario.Step step, double from, double waitStart) {
        return switch (step.condition()) {
            case AGREE -> instances.allAgree(false);
            case SEEN -> history.count(from, line -> line.isEvent(step.event())
                && (step.of().isEmpty() || step.of().equals(line.text("of")))) >= step.count();
            case SERVED -> history.count(waitStart, line -> line.is("answer") && line.integer("status") == STATUS_OK)
                >= step.count();
            case AFTER -> history.now() - waitStart >= step.count();
        };
    }

    private void apply(Scenario.Step step) throws IOException, InterruptedException {
        List<String> others = new ArrayList<>(instances.names());
        others.removeAll(step.who());
        List<String> from = step.from().isEmpty() ? others : step.from();
        switch (step.action()) {
            case CUT -> instances.network().cut(step.who(), from, step.oneWay(), true);
            case HEAL -> instances.network().cut(instances.names(), instances.names(), false, false);
            case NET -> instances.network().setQuality(step.link());
            case NOISE -> instances.network().sendNoise(step.who());
            case REPLAY -> instances.network().replay(step.who());
            case DISCOVERY_DOWN -> controlPlane.setAvailable(false);
            case DISCOVERY_UP -> controlPlane.setAvailable(true);
            case LOAD -> clients.setRate(step.by());
            case NOTHING -> history.add(HistoryLine.LAB, "nothing");
            default -> {
                for (String target : step.who()) {
                    apply(step, target);
                }
            }
        }
    }

    private void apply(Scenario.Step step, String target) throws IOException, InterruptedException {
        switch (step.action()) {
            case KILL -> instances.get(target).kill();
            case STOP -> instances.get(target).stop();
            case CONT -> instances.get(target).resume();
            case RESTART -> instances.get(target).restart(step.lostStore(), step.clockOffset());
            case LEAVE -> instances.get(target).terminate();
            case STARVE -> instances.starve(target);
            case FEED -> instances.get(target).endStarvation();
            case SLOW_NODE -> nodes.setSlowdown(target, step.by());
            case SILENT_NODE -> nodes.setBehavior(target, FakeNodes.Behavior.UNRESPONSIVE);
            case FAILING_NODE -> nodes.setBehavior(target, FakeNodes.Behavior.FAILING);
            case NODE_BACK -> nodes.setBehavior(target, FakeNodes.Behavior.HEALTHY);
            case DRAIN, UNDRAIN -> updateDraining(step, target);
            default -> throw new IllegalStateException("action does not apply to a single party: " + step.action());
        }
    }

    private void updateDraining(Scenario.Step step, String instance) {
        Set<String> draining = drainingNodes.computeIfAbsent(instance, name -> new HashSet<>());
        if (step.action() == Scenario.Action.DRAIN) {
            draining.addAll(step.from());
        } else {
            draining.removeAll(step.from());
        }
        controlPlane.setDraining(instance, draining);
    }

    /** Waits until all running instances agree for the calm time, or for the timeout, then records the view of each. */
    private void awaitAgreement() throws IOException, InterruptedException {
        double until = history.now() + AGREEMENT_TIMEOUT_MS;
        double agreeSince = Double.NaN;
        while (history.now() < until && !(history.now() - agreeSince >= scenario.calm())) {
            instances.collectEvents();
            if (!instances.allAgree(false)) {
                agreeSince = Double.NaN;
            } else if (Double.isNaN(agreeSince)) {
                agreeSince = history.now();
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        instances.collectEvents();
        instances.allAgree(true);
    }
}
