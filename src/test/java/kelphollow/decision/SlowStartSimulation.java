package kelphollow.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.TimerFired;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.ControlSettings.Rules;

/**
 * Simulation of many instances and one node that starts under their load. Each instance sees only its own events. Some
 * learn of the node's start late, some restart during the run, and a few have several times the traffic of others. All
 * random draws come from the seed. Times are milliseconds.
 */
final class SlowStartSimulation {
    private static final double START = 50_000;
    private static final double SPAN = 1_000;
    private static final double SLOW_START_TIME = 18_000;
    private static final double SHARE = 0.2;
    private static final double MULTIPLE = 2;
    private static final double MEAN_UNITS = 2;
    /** Mean requests per second that the node serves when warm. */
    private static final double CAPACITY = 12;
    private static final double MIN_LATENCY = 150;
    private static final int VOLUMES = 20;
    private static final int HOSTS_OF_A_VOLUME = 3;
    private static final int FIRST_STEP = -5_000;
    private static final int LAST_STEP = 10_000;
    private static final int STEP = 2;
    private static final int TIMER_INTERVAL = 10;
    private static final int RESTART_AT = 4_000;
    private static final RequestClass READ = new RequestClass("read", 1_000, 5_000, 2, 0.1, Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL, 0, false, false);
    private static final RequestClass WRITE = new RequestClass("write", 2_000, 13_000, 2, 0.1, Idempotency.NOT_IDEMPOTENT,
        DeduplicationScope.ALL, 0, false, false);

    private record Answer(double at, int host, int incarnation, AttemptEnded event) {}

    /**
     * Result of a run.
     *
     * @param worst most requests sent within a span, as a share of the limit
     * @param served share of the arrived requests that were sent
     */
    record Result(double worst, double served) {}

    private final long seed;
    private final double demand;
    private final Random random;
    private final ControlSettings settings;
    private final List<Control> fleet = new ArrayList<>();
    private final int[] incarnation;
    private final double[] notifiedAt;
    private final Endpoint started = ControlHarness.node("n", 0, EndpointState.HEALTHY, START);
    private final Endpoint other = ControlHarness.node("other", 1, EndpointState.HEALTHY, 0);
    private final PriorityQueue<Answer> answers = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
    private final ArrayDeque<Double> sentInSpan = new ArrayDeque<>();
    /** Instances that returned {@link #actions}, at the same index. */
    private final List<Integer> actors = new ArrayList<>();
    private final List<List<ControlAction>> actions = new ArrayList<>();
    private int step;
    private double now;
    private double freeAt = START;
    private double worst;
    private int requests;
    private int arrived;
    private int sent;

    private SlowStartSimulation(int hosts, double demand, long seed) {
        this.seed = seed;
        this.demand = demand;
        random = new Random(seed);
        settings = settings(hosts);
        incarnation = new int[hosts];
        notifiedAt = new double[hosts];
        for (int h = 0; h < hosts; h++) {
            fleet.add(new Control(settings, seed * 1_000 + h, START - 10_000));
            fleet.get(h).on(START - 10_000, new EndpointsReceived(List.of(other), true, false));
            notifiedAt[h] = START + random.nextDouble() * (h % 5 == 0 ? 2_500 : 400);
        }
    }

    private static ControlSettings settings(int hosts) {
        Rules rules = new Rules(250, SHARE, SLOW_START_TIME, MULTIPLE, SPAN, 1, 0, 0, 0, 0, 10_000);
        double rate = CAPACITY * MEAN_UNITS / VOLUMES;
        return new ControlSettings(0, hosts, "a", 2, 3, 10_000, true, false, 1_000, MEAN_UNITS, 0.35, 0.05,
            List.of(READ, WRITE), List.of(new Plan("usual", rate, rate / 2, 1, 1, 0, 0, 0)), rules);
    }

    /**
     * Runs a simulation.
     *
     * @param demand load of the clients as a share of the node's full capacity, beginning before its start
     */
    static Result run(int hosts, double demand, long seed) {
        SlowStartSimulation simulation = new SlowStartSimulation(hosts, demand, seed);
        for (int step = FIRST_STEP; step < LAST_STEP; step += STEP) {
            simulation.runStep(step);
        }
        int arrived = simulation.arrived;
        return new Result(simulation.worst, arrived == 0 ? 0 : (double) simulation.sent / arrived);
    }

    private void runStep(int atStep) {
        step = atStep;
        now = START + step;
        actors.clear();
        actions.clear();
        deliverAnswers();
        deliverStart();
        if (step == RESTART_AT) {
            restartAThird();
        }
        arrive();
        if (step % TIMER_INTERVAL == 0) {
            for (int h = 0; h < fleet.size(); h++) {
                deliver(h, new TimerFired("wake"));
            }
        }
        carryOut();
        measure();
    }

    private void deliver(int host, ControlEvent event) {
        actors.add(host);
        actions.add(fleet.get(host).on(now, event));
    }

    private void deliverAnswers() {
        while (!answers.isEmpty() && answers.peek().at <= now) {
            Answer answer = answers.poll();
            if (answer.incarnation == incarnation[answer.host]) {
                deliver(answer.host, answer.event);
            }
        }
    }

    private void deliverStart() {
        for (int h = 0; h < fleet.size(); h++) {
            if (notifiedAt[h] > 0 && now >= notifiedAt[h]) {
                notifiedAt[h] = 0;
                deliver(h, new EndpointsReceived(List.of(started), false, false));
            }
        }
    }

    /** Restarts a third of the instances, which then read a cached endpoint list. */
    private void restartAThird() {
        for (int h = 0; h < fleet.size(); h += 3) {
            incarnation[h]++;
            fleet.set(h, new Control(settings, seed * 7_777 + h, now));
            fleet.get(h).on(now, new EndpointsReceived(List.of(started, other), true, true));
        }
    }

    /** Draws an arrival; each volume uses three instances, and two thirds of its requests go to one of them. */
    private void arrive() {
        if (random.nextDouble() >= demand * CAPACITY * STEP / 1_000) {
            return;
        }
        int volume = random.nextInt(VOLUMES);
        int way = random.nextInt(3) > 0 ? 0 : 1 + random.nextInt(HOSTS_OF_A_VOLUME - 1);
        int host = (volume * 7 + way * 13) % fleet.size();
        arrived += step >= 0 ? 1 : 0;
        RequestClass requestClass = random.nextInt(3) > 0 ? READ : WRITE;
        deliver(host, new RequestArrived(incarnation[host] + "q" + requests, requestClass.name(), "usual", null,
            now + requestClass.deadline(), "v" + volume, MEAN_UNITS, 0, HOSTS_OF_A_VOLUME));
        requests++;
    }

    private void carryOut() {
        for (int i = 0; i < actions.size(); i++) {
            for (ControlAction action : actions.get(i)) {
                if (action instanceof SendAttempt send && send.node().equals("n")) {
                    send(actors.get(i), send);
                }
            }
        }
    }

    private void send(int host, SendAttempt send) {
        sent++;
        sentInSpan.add(now);
        double capacity = CAPACITY * Math.min(1, SHARE + (1 - SHARE) * step / SLOW_START_TIME) / 1_000;
        freeAt = Math.max(freeAt, now) + 1 / capacity;
        double at = Math.max(freeAt, now + MIN_LATENCY);
        answers.add(new Answer(at, host, incarnation[host], new AttemptEnded(send.id(), 0, "n", AttemptOutcome.SERVED,
            at - now, true, false, 0, -1, Map.of())));
    }

    private void measure() {
        while (!sentInSpan.isEmpty() && sentInSpan.peek() <= now - SPAN) {
            sentInSpan.poll();
        }
        if (step >= 0) {
            double n = allowed(Math.max(0, step - SPAN / 2));
            worst = Math.max(worst, sentInSpan.size() / (n + 2 * Math.sqrt(n) + 2));
        }
    }

    /** Requests N that the settings allow within a span; {@link #measure} adds 2 * sqrt(N) + 2 for random variation. */
    private static double allowed(double age) {
        return MULTIPLE * CAPACITY * SPAN / 1_000 * Math.min(1, SHARE + (1 - SHARE) * age / SLOW_START_TIME);
    }
}
