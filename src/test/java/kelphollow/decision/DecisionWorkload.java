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
import kelphollow.decision.ControlApi.Action;
import kelphollow.decision.ControlApi.AnswerStarted;
import kelphollow.decision.ControlApi.Arrival;
import kelphollow.decision.ControlApi.AttemptDone;
import kelphollow.decision.ControlApi.Cancel;
import kelphollow.decision.ControlApi.ClientGone;
import kelphollow.decision.ControlApi.Doubted;
import kelphollow.decision.ControlApi.Event;
import kelphollow.decision.ControlApi.Fail;
import kelphollow.decision.ControlApi.Leaving;
import kelphollow.decision.ControlApi.LimitsLeft;
import kelphollow.decision.ControlApi.ListFailed;
import kelphollow.decision.ControlApi.ListFailure;
import kelphollow.decision.ControlApi.ListLeased;
import kelphollow.decision.ControlApi.ListMoved;
import kelphollow.decision.ControlApi.NodeEntry;
import kelphollow.decision.ControlApi.NodeList;
import kelphollow.decision.ControlApi.Outcome;
import kelphollow.decision.ControlApi.Phase;
import kelphollow.decision.ControlApi.Plan;
import kelphollow.decision.ControlApi.Progress;
import kelphollow.decision.ControlApi.Refuse;
import kelphollow.decision.ControlApi.RepeatsBounded;
import kelphollow.decision.ControlApi.RequestClass;
import kelphollow.decision.ControlApi.Retuned;
import kelphollow.decision.ControlApi.Send;
import kelphollow.decision.ControlApi.SetTimer;
import kelphollow.decision.ControlApi.Settings;
import kelphollow.decision.ControlApi.Subscribe;
import kelphollow.decision.ControlApi.TimerFired;

/**
 * A simulated day of one scheduler, drawn from a seed: clients that retry and leave, nodes that drain, restart, slow
 * down and fail, discovery that fails and moves, settings that change, and a shutdown at the end. Everything that the
 * decision module answers goes to a {@link DecisionRecorder}. Times are milliseconds.
 */
final class DecisionWorkload {
    private static final double START = 1_700_000_000_000.25;
    private static final double DAY_LENGTH = 40_000;
    private static final double SHUTDOWN_AT = DAY_LENGTH - 3_000;
    private static final double DISTURBANCE_INTERVAL = 350;
    private static final int CELLS = 5;
    private static final int VOLUMES = 9;
    private static final int KEYS = 40;
    private static final String[] ZONES = {"hall-a", "hall-b"};

    private enum Behaviour { HEALTHY, SLOW, SILENT, ERRORS, AT_CAPACITY, RESETS, UNREACHABLE }

    private static final class SimulatedNode {
        final String id;
        final String zone;
        final int cell;
        Phase phase = Phase.HEALTHY;
        double startedAt;
        Behaviour behaviour = Behaviour.HEALTHY;
        int inFlight;

        SimulatedNode(String id, String zone, int cell) {
            this.id = id;
            this.zone = zone;
            this.cell = cell;
        }

        NodeEntry entry() {
            return new NodeEntry(id, zone, cell, phase, startedAt);
        }
    }

    private record Task(double at, long order, Runnable work) {}

    private final Settings settings;
    private final Control control;
    private final DecisionRecorder recorder = new DecisionRecorder();
    private final Random random;
    private final double arrivalsPerSecond;
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final Map<String, SimulatedNode> nodesById = new LinkedHashMap<>();
    private final Map<String, Arrival> open = new LinkedHashMap<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Map<String, SimulatedNode> inFlight = new LinkedHashMap<>();
    private final PriorityQueue<Task> tasks = new PriorityQueue<>((a, b) -> a.at() == b.at()
        ? Long.compare(a.order(), b.order()) : Double.compare(a.at(), b.at()));
    private final Set<String> kinds = new LinkedHashSet<>();
    private double now = START;
    private long order;
    private int requests;

    DecisionWorkload(Settings settings, long seed, double arrivalsPerSecond) {
        this.settings = settings;
        this.arrivalsPerSecond = arrivalsPerSecond;
        this.random = new Random(seed);
        this.control = new Control(settings, seed, START);
    }

    /** Plays the whole day. */
    DecisionRecorder play() {
        for (int i = 0; i < 2 * CELLS; i++) {
            addNode(i % CELLS);
        }
        List<Action> first = control.start();
        recorder.record(now, "start", first);
        carryOut(first);
        tell("limits", new LimitsLeft(Map.of("volume-1", 3.5, "volume-2", 0.0)));
        sendList(true, true);
        at(40, () -> sendList(true, false));
        at(20, this::arrive);
        at(DISTURBANCE_INTERVAL, this::disturb);
        at(SHUTDOWN_AT, () -> tell("shutdown", new Leaving(now + 1_500)));
        while (!tasks.isEmpty() && tasks.peek().at() < START + DAY_LENGTH) {
            Task task = tasks.poll();
            now = task.at();
            task.work().run();
        }
        recorder.recordState(control.limitLevels().toString());
        recorder.recordState(control.silentNodes().toString());
        recorder.recordState(control.nodesKnown() + " nodes, " + control.volumesKnown() + " volumes");
        return recorder;
    }

    /** The kinds of events and actions that occurred. */
    Set<String> kinds() {
        return kinds;
    }

    private void at(double delay, Runnable work) {
        tasks.add(new Task(now + Math.max(0, delay), order++, work));
    }

    private void tell(String what, Event event) {
        kinds.add(what.split(" ")[0]);
        List<Action> actions = control.on(now, event);
        recorder.record(now, what, actions);
        carryOut(actions);
    }

    // ---------------------------------------------------------------- clients

    private void arrive() {
        at(-Math.log(1 - random.nextDouble()) * 1_000 / arrivalsPerSecond, this::arrive);
        request(false, null);
        if (random.nextInt(200) == 0) {
            for (int i = 0; i < 30; i++) {
                request(false, null);
            }
        }
    }

    private void request(boolean retry, Arrival earlier) {
        String id = "r" + requests++;
        RequestClass kind = settings.classes().get(random.nextInt(settings.classes().size()));
        int volume = (int) (VOLUMES * Math.pow(random.nextDouble(), 2));
        Plan plan = settings.plans().get(volume % settings.plans().size());
        boolean fresh = random.nextInt(8) == 0;
        double deadline = now + kind.deadline() * (retry ? 0.5 : 1);
        Arrival arrival = new Arrival(id, random.nextInt(400) == 0 ? "unknown" : kind.name(), plan.name(),
            "key-" + random.nextInt(KEYS), deadline, "volume-" + volume, 1 + random.nextInt(6),
            fresh ? -1 : random.nextInt(CELLS), 1 + random.nextInt(3), retry);
        if (retry) {
            arrival = new Arrival(id, earlier.requestClass(), earlier.plan(), earlier.key(), deadline, earlier.volume(),
                earlier.units(), earlier.cell(), earlier.hosts(), true);
        }
        open.put(id, arrival);
        tell((retry ? "retry " : "arrival ") + id, arrival);
        if (random.nextInt(25) == 0) {
            at(random.nextDouble() * 600, () -> disconnect(id));
        }
    }

    private void disconnect(String id) {
        if (open.remove(id) != null) {
            tell("disconnect " + id, new ClientGone(id));
        }
    }

    private void finish(String id, boolean mayRetry) {
        Arrival arrival = open.remove(id);
        if (arrival != null && mayRetry && random.nextInt(3) == 0) {
            at(30 + random.nextDouble() * 200, () -> request(true, arrival));
        }
    }

    // ---------------------------------------------------------------- actions

    private void carryOut(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Send send) {
                kinds.add("send");
                send(send);
            } else if (action instanceof Refuse reject) {
                kinds.add("reject-" + reject.reason().ordinal());
                finish(reject.id(), true);
            } else if (action instanceof Fail fail) {
                kinds.add("fail-" + fail.reason().ordinal());
                finish(fail.id(), false);
            } else if (action instanceof Cancel cancel) {
                kinds.add("cancel");
                String attempt = cancel.id() + '#' + cancel.attempt();
                at(0.5, () -> end(attempt, cancel.id(), cancel.attempt(), Outcome.CANCELLED, 0));
            } else if (action instanceof SetTimer timer) {
                at(timer.at() - now, () -> tell("timer", new TimerFired(timer.name())));
            } else if (action instanceof Subscribe) {
                kinds.add("poll");
                at(5 + random.nextDouble() * 40, this::answerPoll);
            }
        }
    }

    private void answerPoll() {
        if (random.nextInt(3) == 0) {
            tell("poll-failed", new ListFailed(randomFailure()));
        } else {
            sendList(true, false);
        }
    }

    private ListFailure randomFailure() {
        return ListFailure.values()[random.nextInt(ListFailure.values().length)];
    }

    private void send(Send send) {
        int number = attempts.merge(send.id(), 1, Integer::sum) - 1;
        SimulatedNode node = nodesById.get(send.node());
        String attempt = send.id() + '#' + number;
        inFlight.put(attempt, node);
        node.inFlight++;
        Arrival arrival = open.get(send.id());
        double units = arrival == null ? 1 : arrival.units();
        double took = (4 + 9 * units) * (0.6 + random.nextDouble()) * (1 + node.inFlight / 4.0);
        Outcome outcome = Outcome.SERVED;
        switch (node.behaviour) {
            case SLOW -> took *= 8;
            case SILENT -> {
                outcome = Outcome.TIMED_OUT;
                took = arrival == null ? 500 : Math.max(1, arrival.deadline() - now);
            }
            case ERRORS -> outcome = random.nextBoolean() ? Outcome.ERROR : Outcome.SERVED;
            case AT_CAPACITY -> {
                outcome = Outcome.FULL;
                took = 2;
            }
            case RESETS -> outcome = random.nextInt(3) > 0 ? Outcome.RESET : Outcome.SERVED;
            case UNREACHABLE -> {
                outcome = random.nextInt(5) == 0 ? Outcome.NOT_SENT : Outcome.NO_CONNECTION;
                took = 3;
            }
            default -> {}
        }
        if (send.timeout() > 0 && took > send.timeout()) {
            outcome = Outcome.TIMED_OUT;
            took = send.timeout();
        }
        if (outcome == Outcome.SERVED && random.nextInt(6) == 0) {
            at(took * 0.4, () -> {
                if (inFlight.containsKey(attempt)) {
                    tell("progress " + attempt, new Progress(send.id(), number));
                }
            });
        }
        if (outcome == Outcome.SERVED && random.nextInt(12) == 0) {
            at(took * 0.5, () -> {
                if (inFlight.containsKey(attempt)) {
                    tell("response-started " + attempt, new AnswerStarted(send.id(), number));
                }
            });
        }
        Outcome last = outcome;
        double time = took;
        at(took, () -> end(attempt, send.id(), number, last, time));
    }

    private void end(String attempt, String id, int number, Outcome outcome, double took) {
        SimulatedNode node = inFlight.remove(attempt);
        if (node == null) {
            return;
        }
        node.inFlight--;
        if (outcome == Outcome.SERVED) {
            open.remove(id);
        }
        boolean ended = !open.containsKey(id);
        boolean bodySpent = outcome == Outcome.RESET && random.nextInt(10) == 0;
        double usage = random.nextInt(4) == 0 ? random.nextDouble() * 150 : -1;
        double elsewhere = random.nextInt(3) == 0 ? random.nextDouble() * 5 : 0;
        tell("ended-" + outcome.ordinal() + " " + attempt, new AttemptDone(id, number, node.id, outcome, took, ended,
            bodySpent, elsewhere, usage, Map.of()));
    }

    // ---------------------------------------------------------------- nodes, discovery and settings

    private void addNode(int cell) {
        SimulatedNode node = new SimulatedNode("node-" + nodesById.size(), ZONES[nodesById.size() % ZONES.length], cell);
        nodes.add(node);
        nodesById.put(node.id, node);
    }

    private void sendList(boolean complete, boolean persisted) {
        String kind = persisted ? "cached-list" : complete ? "complete-list" : "changed-list";
        tell(kind, new NodeList(nodes.stream().map(SimulatedNode::entry).toList(), complete, persisted));
        nodes.removeIf(n -> n.phase == Phase.GONE);
    }

    private void sendChange(SimulatedNode node) {
        tell("changed-list " + node.id, new NodeList(List.of(node.entry()), false, false));
        nodes.removeIf(n -> n.phase == Phase.GONE);
    }

    private SimulatedNode randomNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }

    private void disturb() {
        at(DISTURBANCE_INTERVAL * (0.5 + random.nextDouble()), this::disturb);
        SimulatedNode node = randomNode();
        switch (random.nextInt(13)) {
            case 0, 1 -> drainAndRestart(node);
            case 2, 3, 4, 5 -> misbehave(node);
            case 6 -> replace(node);
            case 7 -> tell("list-failed", new ListFailed(randomFailure()));
            case 8 -> expireLease();
            case 9 -> suspect(node);
            case 10 -> tell("retry-budget", new RepeatsBounded(random.nextInt(4) * 0.1, 4_000));
            case 11 -> reload();
            default -> tell("moved", new ListMoved());
        }
    }

    private void drainAndRestart(SimulatedNode node) {
        node.phase = Phase.DRAINING;
        sendChange(node);
        at(1_000 + random.nextDouble() * 1_000, () -> {
            if (nodes.contains(node)) {
                node.phase = Phase.HEALTHY;
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
        node.phase = Phase.GONE;
        sendChange(node);
        addNode(node.cell);
        SimulatedNode added = nodes.get(nodes.size() - 1);
        added.startedAt = now;
        sendChange(added);
    }

    private void expireLease() {
        tell("lease", new ListLeased(now + random.nextDouble() * 200));
        at(300, () -> tell("lease", new ListLeased(now + 30_000)));
    }

    private void suspect(SimulatedNode node) {
        tell("suspected", new Doubted(new TreeSet<>(List.of(node.id, "node-0"))));
        at(900, () -> tell("suspected", new Doubted(Set.of())));
    }

    private void reload() {
        List<RequestClass> classes = settings.classes().stream().map(c -> new RequestClass(c.name(),
            c.aim() * (0.8 + random.nextDouble() / 2), c.deadline(), c.worth(), c.lateShare(), c.effect(), c.group(),
            c.window(), c.ordered(), c.streaming())).toList();
        tell("reload", new Retuned(classes, 1 + random.nextInt(settings.maxAttempts())));
    }
}
