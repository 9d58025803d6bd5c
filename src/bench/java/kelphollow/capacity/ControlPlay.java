package kelphollow.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import kelphollow.decision.Control;
import kelphollow.decision.ControlAction;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlAction.SetTimer;
import kelphollow.decision.ControlEvent;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.RetryBudgetChanged;
import kelphollow.decision.ControlEvent.TimerFired;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.ControlSettings.Rules;

/**
 * One scheduler's requests on a clock of its own, by seed: requests come by chance, nodes answer after a fixed time,
 * timers fire
 * on the wheel's tick. The events are recorded, so that they can be told to a fresh module again with nothing else in the
 * time
 * that is measured.
 */
final class ControlPlay {
    static final double START = 1_000_000;
    /** Requests a second of one scheduler at the target size: 430,000 over 510. */
    static final double TARGET_RATE = 843;
    private static final double ANSWERED_AFTER = 5;
    private static final double TICK = 2;
    private static final RequestClass READ = new RequestClass("read", 300, 2_000, 2, 0.1, Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL, 0,
        false, false);
    private static final RequestClass PATIENT = new RequestClass("patient", 60_000, 600_000, 2, 0.1, Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL, 0,
        false, false);
    private static final Plan USUAL = new Plan("usual", 100, 50, 1, 1, 0, 0, 0);

    /** How timers are carried out: each that is asked for, or one at a time, as if {@code planWake} replaced its timer. */
    enum Timers {
        AS_ASKED, ONE
    }

    /**
     * @param rate requests a second
     * @param held requests that wait at a node which drains
     * @param cold nodes that have just been started
     */
    record Shape(double rate, int nodes, int volumes, int held, int cold, int requests, Timers timers) {}

    private record Told(double at, ControlEvent event) {}

    private record Due(double at, long order, ControlEvent event) {}

    private final Shape shape;
    private final List<Told> told = new ArrayList<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>(Comparator.comparingDouble(Due::at)
        .thenComparingLong(Due::order));
    private long order;
    private int timers;
    private double timerAt = Double.POSITIVE_INFINITY;

    ControlPlay(Shape shape, long seed) {
        this.shape = shape;
        record(seed);
    }

    static ControlSettings settings(int instances) {
        Rules rules = new Rules(250, 0.2, 18_000, 2, 1_000, 3, 200, 3, 0.1, 5_000, 10_000);
        return new ControlSettings(0, instances, "a", TICK, 3, 20_000, true, false, 1_000, 2, 0.35, 0.05, List.of(READ,
            PATIENT),
            List.of(USUAL), rules);
    }

    private Control fresh(long seed) {
        Control control = new Control(settings(510), seed, START);
        control.start();
        return control;
    }

    private void record(long seed) {
        Random random = new Random(seed);
        Control control = fresh(seed);
        double now = START;
        tell(control, now, new RetryBudgetChanged(0.1, 10_000));
        tell(control, now, new EndpointsReceived(entries(), true, false));
        for (int i = 0; i < shape.held(); i++) {
            tell(control, now, arrival("h" + i, "patient", now + PATIENT.deadline(), "v" + i % shape.volumes(), 0));
        }
        for (int i = 0; i < shape.requests(); i++) {
            double next = now - Math.log(1 - random.nextDouble()) * 1_000 / shape.rate();
            while (!dues.isEmpty() && dues.peek().at <= next) {
                Due due = dues.poll();
                tell(control, due.at, due.event);
            }
            now = next;
            int cell = shape.held() > 0 ? 1 + random.nextInt(shape.nodes() - 1) : random.nextInt(shape.nodes());
            tell(control, now, arrival("q" + i, "read", now + READ.deadline(), "v" + random.nextInt(shape.volumes()), cell));
        }
    }

    private List<Endpoint> entries() {
        List<Endpoint> entries = new ArrayList<>();
        for (int n = 0; n < shape.nodes(); n++) {
            boolean drains = n == 0 && shape.held() > 0;
            entries.add(new Endpoint("node-" + n, "zone-" + n % 6, n, drains ? EndpointState.DRAINING
                : EndpointState.HEALTHY,
                n >= shape.nodes() - shape.cold() ? START : 0));
        }
        return entries;
    }

    private static RequestArrived arrival(String id, String kind, double deadline, String volume, int cell) {
        return new RequestArrived(id, kind, "usual", null, deadline, volume, 2, cell, 3);
    }

    private void tell(Control control, double at, ControlEvent event) {
        told.add(new Told(at, event));
        if (event instanceof TimerFired) {
            timers++;
            timerAt = at >= timerAt ? Double.POSITIVE_INFINITY : timerAt;
        }
        for (ControlAction action : control.on(at, event)) {
            if (action instanceof SendAttempt s) {
                due(at + ANSWERED_AFTER, new AttemptEnded(s.id(), 0, s.node(), AttemptOutcome.SERVED, ANSWERED_AFTER, true,
                    false, 0, -1,
                    Map.of()));
            } else if (action instanceof SetTimer t) {
                timer(TICK * Math.ceil(t.at() / TICK), new TimerFired(t.name()));
            }
        }
    }

    private void timer(double at, TimerFired fired) {
        if (shape.timers() == Timers.ONE) {
            if (at >= timerAt) {
                return;
            }
            timerAt = at;
        }
        due(at, fired);
    }

    private void due(double at, ControlEvent event) {
        dues.add(new Due(at, order++, event));
    }

    /** A module that has been told all of it. */
    Control replay(long seed) {
        Control control = fresh(seed);
        for (Told t : told) {
            control.on(t.at, t.event);
        }
        return control;
    }

    double eventsARequest() {
        return (double) told.size() / shape.requests();
    }

    double timersARequest() {
        return (double) timers / shape.requests();
    }
}
