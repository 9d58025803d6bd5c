package kelphollow.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import kelphollow.decision.ControlAction.CancelAttempt;
import kelphollow.decision.ControlAction.FailRequest;
import kelphollow.decision.ControlAction.PollEndpoints;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlAction.SetTimer;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.AttemptProgressed;
import kelphollow.decision.ControlEvent.ClientDisconnected;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointLeaseRenewed;
import kelphollow.decision.ControlEvent.EndpointPollFailed;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.ControlEvent.EndpointSourceChanged;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.LimitsRestored;
import kelphollow.decision.ControlEvent.NodesSuspected;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.ResponseStarted;
import kelphollow.decision.ControlEvent.RetryBudgetChanged;
import kelphollow.decision.ControlEvent.SettingsChanged;
import kelphollow.decision.ControlEvent.ShutdownStarted;
import kelphollow.decision.ControlEvent.TimerFired;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;

/**
 * A simulated run of one instance, generated from a seed: clients that retry and disconnect, nodes that drain, restart,
 * slow down and fail, discovery polls that fail, a replaced discovery service, settings that change, and a shutdown at
 * the end. All actions of the decision module are recorded by a {@link DecisionRecorder}. Times are milliseconds.
 */
final class DecisionWorkload {
    private static final double START = 1_700_000_000_000.25;
    private static final double RUN_LENGTH = 40_000;
    private static final double SHUTDOWN_AT = RUN_LENGTH - 3_000;
    private static final double FAULT_INTERVAL = 350;
    private static final int CELLS = 5;
    private static final int VOLUMES = 9;
    private static final int KEYS = 40;
    private static final String[] ZONES = {"hall-a", "hall-b"};

    private enum Behaviour { HEALTHY, SLOW, SILENT, ERRORS, AT_CAPACITY, RESETS, UNREACHABLE }

    private static final class SimulatedNode {
        final String id;
        final String zone;
        final int cell;
        EndpointState state = EndpointState.HEALTHY;
        double startedAt;
        Behaviour behaviour = Behaviour.HEALTHY;
        int inFlight;

        SimulatedNode(String id, String zone, int cell) {
            this.id = id;
            this.zone = zone;
            this.cell = cell;
        }

        Endpoint entry() {
            return new Endpoint(id, zone, cell, state, startedAt);
        }
    }

    private record Task(double at, long order, Runnable work) {}

    private final ControlSettings settings;
    private final Control control;
    private final DecisionRecorder recorder = new DecisionRecorder();
    private final Random random;
    private final double arrivalsPerSecond;
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final Map<String, SimulatedNode> nodesById = new LinkedHashMap<>();
    private final Map<String, RequestArrived> open = new LinkedHashMap<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Map<String, SimulatedNode> inFlight = new LinkedHashMap<>();
    private final PriorityQueue<Task> tasks = new PriorityQueue<>((a, b) -> a.at() == b.at()
        ? Long.compare(a.order(), b.order()) : Double.compare(a.at(), b.at()));
    private final Set<String> kinds = new LinkedHashSet<>();
    private double now = START;
    private long order;
    private int requests;

    DecisionWorkload(ControlSettings settings, long seed, double arrivalsPerSecond) {
        this.settings = settings;
        this.arrivalsPerSecond = arrivalsPerSecond;
        this.random = new Random(seed);
        this.control = new Control(settings, seed, START);
    }

    /** Runs the whole simulation. */
    DecisionRecorder run() {
        for (int i = 0; i < 2 * CELLS; i++) {
            addNode(i % CELLS);
        }
        List<ControlAction> first = control.start();
        recorder.record(now, "start", first);
        execute(first);
        deliver("limits", new LimitsRestored(Map.of("volume-1", 3.5, "volume-2", 0.0)));
        sendList(true, true);
        at(40, () -> sendList(true, false));
        at(20, this::arrive);
        at(FAULT_INTERVAL, this::injectFault);
        at(SHUTDOWN_AT, () -> deliver("shutdown", new ShutdownStarted(now + 1_500)));
        while (!tasks.isEmpty() && tasks.peek().at() < START + RUN_LENGTH) {
            Task task = tasks.poll();
            now = task.at();
            task.work().run();
        }
        recorder.recordState(control.limitTokens().toString());
        recorder.recordState(control.unresponsiveNodes().toString());
        recorder.recordState(control.nodeCount() + " nodes, " + control.volumeCount() + " volumes");
        return recorder;
    }

    /** The types of events and actions that occurred. */
    Set<String> kinds() {
        return kinds;
    }

    private void at(double delay, Runnable work) {
        tasks.add(new Task(now + Math.max(0, delay), order++, work));
    }

    private void deliver(String what, ControlEvent event) {
        kinds.add(what.split(" ")[0]);
        List<ControlAction> actions = control.on(now, event);
        recorder.record(now, what, actions);
        execute(actions);
    }

    // ---------------------------------------------------------------- clients

    private void arrive() {
        at(-StrictMath.log(1 - random.nextDouble()) * 1_000 / arrivalsPerSecond, this::arrive);
        request(false, null);
        if (random.nextInt(200) == 0) {
            for (int i = 0; i < 30; i++) {
                request(false, null);
            }
        }
    }

    private void request(boolean retry, RequestArrived earlier) {
        String id = "r" + requests++;
        RequestClass kind = settings.classes().get(random.nextInt(settings.classes().size()));
        int volume = (int) (VOLUMES * StrictMath.pow(random.nextDouble(), 2));
        Plan plan = settings.plans().get(volume % settings.plans().size());
        boolean newObject = random.nextInt(8) == 0;
        double deadline = now + kind.deadline() * (retry ? 0.5 : 1);
        RequestArrived arrival = new RequestArrived(id, random.nextInt(400) == 0 ? "unknown" : kind.name(), plan.name(),
            "key-" + random.nextInt(KEYS), deadline, "volume-" + volume, 1 + random.nextInt(6),
            newObject ? -1 : random.nextInt(CELLS), 1 + random.nextInt(3), retry);
        if (retry) {
            arrival = new RequestArrived(id, earlier.requestClass(), earlier.plan(), earlier.key(), deadline, earlier
                .volume(),
                earlier.units(), earlier.cell(), earlier.instances(), true);
        }
        open.put(id, arrival);
        deliver((retry ? "retry " : "arrival ") + id, arrival);
        if (random.nextInt(25) == 0) {
            at(random.nextDouble() * 600, () -> disconnect(id));
        }
    }

    private void disconnect(String id) {
        if (open.remove(id) != null) {
            deliver("disconnect " + id, new ClientDisconnected(id));
        }
    }

    private void finish(String id, boolean mayRetry) {
        RequestArrived arrival = open.remove(id);
        if (arrival != null && mayRetry && random.nextInt(3) == 0) {
            at(30 + random.nextDouble() * 200, () -> request(true, arrival));
        }
    }

    // ---------------------------------------------------------------- actions

    private void execute(List<ControlAction> actions) {
        for (ControlAction action : actions) {
            if (action instanceof SendAttempt send) {
                kinds.add("send");
                send(send);
            } else if (action instanceof RejectRequest reject) {
                kinds.add("reject-" + reject.reason().ordinal());
                finish(reject.id(), true);
            } else if (action instanceof FailRequest fail) {
                kinds.add("fail-" + fail.reason().ordinal());
                finish(fail.id(), false);
            } else if (action instanceof CancelAttempt cancel) {
                kinds.add("cancel");
                String attempt = cancel.id() + '#' + cancel.attempt();
                at(0.5, () -> end(attempt, cancel.id(), cancel.attempt(), AttemptOutcome.CANCELLED, 0));
            } else if (action instanceof SetTimer timer) {
                at(timer.at() - now, () -> deliver("timer", new TimerFired(timer.name())));
            } else if (action instanceof PollEndpoints) {
                kinds.add("poll");
                at(5 + random.nextDouble() * 40, this::answerPoll);
            }
        }
    }

    private void answerPoll() {
        if (random.nextInt(3) == 0) {
            deliver("poll-failed", new EndpointPollFailed(randomFailure()));
        } else {
            sendList(true, false);
        }
    }

    private EndpointPollFailure randomFailure() {
        return EndpointPollFailure.values()[random.nextInt(EndpointPollFailure.values().length)];
    }

    /** The outcome of an attempt and the time until it. */
    private record Ending(AttemptOutcome outcome, double latency) {}

    private void send(SendAttempt send) {
        int number = attempts.merge(send.id(), 1, Integer::sum) - 1;
        SimulatedNode node = nodesById.get(send.node());
        String attempt = send.id() + '#' + number;
        inFlight.put(attempt, node);
        node.inFlight++;
        Ending ending = ending(node, open.get(send.id()));
        if (send.timeout() > 0 && ending.latency > send.timeout()) {
            ending = new Ending(AttemptOutcome.TIMED_OUT, send.timeout());
        }
        if (ending.outcome == AttemptOutcome.SERVED) {
            scheduleProgress(send.id(), number, ending.latency);
        }
        Ending last = ending;
        at(last.latency, () -> end(attempt, send.id(), number, last.outcome, last.latency));
    }

    private Ending ending(SimulatedNode node, RequestArrived arrival) {
        double units = arrival == null ? 1 : arrival.units();
        double latency = (4 + 9 * units) * (0.6 + random.nextDouble()) * (1 + node.inFlight / 4.0);
        return switch (node.behaviour) {
            case HEALTHY -> new Ending(AttemptOutcome.SERVED, latency);
            case SLOW -> new Ending(AttemptOutcome.SERVED, latency * 8);
            case SILENT -> new Ending(AttemptOutcome.TIMED_OUT,
                arrival == null ? 500 : Math.max(1, arrival.deadline() - now));
            case ERRORS -> new Ending(random.nextBoolean() ? AttemptOutcome.ERROR : AttemptOutcome.SERVED, latency);
            case AT_CAPACITY -> new Ending(AttemptOutcome.AT_CAPACITY, 2);
            case RESETS -> new Ending(random.nextInt(3) > 0 ? AttemptOutcome.RESET : AttemptOutcome.SERVED, latency);
            case UNREACHABLE -> new Ending(
                random.nextInt(5) == 0 ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED, 3);
        };
    }

    private void scheduleProgress(String id, int number, double latency) {
        String attempt = id + '#' + number;
        if (random.nextInt(6) == 0) {
            at(latency * 0.4, () -> {
                if (inFlight.containsKey(attempt)) {
                    deliver("progress " + attempt, new AttemptProgressed(id, number));
                }
            });
        }
        if (random.nextInt(12) == 0) {
            at(latency * 0.5, () -> {
                if (inFlight.containsKey(attempt)) {
                    deliver("response-started " + attempt, new ResponseStarted(id, number));
                }
            });
        }
    }

    private void end(String attempt, String id, int number, AttemptOutcome outcome, double latency) {
        SimulatedNode node = inFlight.remove(attempt);
        if (node == null) {
            return;
        }
        node.inFlight--;
        if (outcome == AttemptOutcome.SERVED) {
            open.remove(id);
        }
        boolean ended = !open.containsKey(id);
        boolean unrepeatable = outcome == AttemptOutcome.RESET && random.nextInt(10) == 0;
        double usage = random.nextInt(4) == 0 ? random.nextDouble() * 150 : -1;
        double elsewhere = random.nextInt(3) == 0 ? random.nextDouble() * 5 : 0;
        deliver("ended-" + outcome.ordinal() + " " + attempt, new AttemptEnded(id, number, node.id, outcome, latency, ended,
            unrepeatable, elsewhere, usage, Map.of()));
    }

    // ---------------------------------------------------------------- nodes, discovery and settings

    private void addNode(int cell) {
        SimulatedNode node = new SimulatedNode("node-" + nodesById.size(), ZONES[nodesById.size() % ZONES.length], cell);
        nodes.add(node);
        nodesById.put(node.id, node);
    }

    private void sendList(boolean complete, boolean cached) {
        String kind = cached ? "cached-list" : complete ? "complete-list" : "changed-list";
        deliver(kind, new EndpointsReceived(nodes.stream().map(SimulatedNode::entry).toList(), complete, cached));
        nodes.removeIf(n -> n.state == EndpointState.REMOVED);
    }

    private void sendChange(SimulatedNode node) {
        deliver("changed-list " + node.id, new EndpointsReceived(List.of(node.entry()), false, false));
        nodes.removeIf(n -> n.state == EndpointState.REMOVED);
    }

    private SimulatedNode randomNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }

    private void injectFault() {
        at(FAULT_INTERVAL * (0.5 + random.nextDouble()), this::injectFault);
        SimulatedNode node = randomNode();
        switch (random.nextInt(13)) {
            case 0, 1 -> drainAndRestart(node);
            case 2, 3, 4, 5 -> misbehave(node);
            case 6 -> replace(node);
            case 7 -> deliver("list-failed", new EndpointPollFailed(randomFailure()));
            case 8 -> expireLease();
            case 9 -> suspect(node);
            case 10 -> deliver("retry-budget", new RetryBudgetChanged(random.nextInt(4) * 0.1, 4_000));
            case 11 -> reload();
            default -> deliver("moved", new EndpointSourceChanged());
        }
    }

    private void drainAndRestart(SimulatedNode node) {
        node.state = EndpointState.DRAINING;
        sendChange(node);
        at(1_000 + random.nextDouble() * 1_000, () -> {
            if (nodes.contains(node)) {
                node.state = EndpointState.HEALTHY;
                node.startedAt = now - random.nextInt(300);
                sendChange(node);
            }
        });
    }

    private void misbehave(SimulatedNode node) {
        Behaviour[] all = Behaviour.values();
        node.behaviour = all[1 + random.nextInt(all.length - 1)];
        at(500 + random.nextDouble() * 2_500, () -> node.behaviour = Behaviour.HEALTHY);
    }

    private void replace(SimulatedNode node) {
        node.state = EndpointState.REMOVED;
        sendChange(node);
        addNode(node.cell);
        SimulatedNode added = nodes.get(nodes.size() - 1);
        added.startedAt = now;
        sendChange(added);
    }

    private void expireLease() {
        deliver("lease", new EndpointLeaseRenewed(now + random.nextDouble() * 200));
        at(300, () -> deliver("lease", new EndpointLeaseRenewed(now + 30_000)));
    }

    private void suspect(SimulatedNode node) {
        deliver("suspected", new NodesSuspected(new TreeSet<>(List.of(node.id, "node-0"))));
        at(900, () -> deliver("suspected", new NodesSuspected(Set.of())));
    }

    private void reload() {
        List<RequestClass> classes = settings.classes().stream().map(c -> new RequestClass(c.name(),
            c.latencyObjective() * (0.8 + random.nextDouble() / 2), c.deadline(), c.priorityWeight(), c.lateShare(), c
                .idempotency(), c.deduplicationScope(),
            c.idempotencyWindow(), c.ordered(), c.streaming())).toList();
        deliver("reload", new SettingsChanged(classes, 1 + random.nextInt(settings.maxAttempts())));
    }
}
