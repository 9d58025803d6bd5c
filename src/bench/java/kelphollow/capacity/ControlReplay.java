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
 * Simulates one scheduler's requests on a simulated clock with a seeded random generator: arrivals form a Poisson process,
 * nodes answer after a fixed time and timers fire on the tick of the timer wheel. The events are recorded and can be
 * replayed into a new {@link Control}, so that the measured time contains nothing but the decision module.
 */
final class ControlReplay {
    static final double START = 1_000_000;
    /** Requests per second of one scheduler at the target size: 430,000 divided by 510 schedulers. */
    static final double TARGET_RATE = 843;
    private static final double SERVICE_MS = 5;
    private static final double TICK_MS = 2;
    private static final RequestClass READ = new RequestClass("read", 300, 2_000, 2, 0.1, Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL, 0,
        false, false);
    private static final RequestClass LONG_READ = new RequestClass("patient", 60_000, 600_000, 2, 0.1,
        Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0,
        false, false);
    private static final Plan PLAN = new Plan("usual", 100, 50, 1, 1, 0, 0, 0);

    /** Whether every requested timer fires, or only one is pending at a time, as if {@code WakeTimer} replaced its timer. */
    enum Timers {
        AS_ASKED, ONE
    }

    /**
     * @param rate requests per second
     * @param held number of requests that wait for a draining node
     * @param cold number of nodes that have just been started
     */
    record Shape(double rate, int nodes, int volumes, int held, int cold, int requests, Timers timers) {}

    private record RecordedEvent(double at, ControlEvent event) {}

    private record ScheduledEvent(double at, long order, ControlEvent event) {}

    private final Shape shape;
    private final List<RecordedEvent> recorded = new ArrayList<>();
    private final PriorityQueue<ScheduledEvent> scheduled = new PriorityQueue<>(
        Comparator.comparingDouble(ScheduledEvent::at).thenComparingLong(ScheduledEvent::order));
    private long order;
    private int timers;
    private double timerAt = Double.POSITIVE_INFINITY;

    ControlReplay(Shape shape, long seed) {
        this.shape = shape;
        record(seed);
    }

    static ControlSettings settings(int instances) {
        Rules rules = new Rules(250, 0.2, 18_000, 2, 1_000, 3, 200, 3, 0.1, 5_000, 10_000);
        return new ControlSettings(0, instances, "a", TICK_MS, 3, 20_000, true, false, 1_000, 2, 0.35, 0.05, List.of(READ,
            LONG_READ),
            List.of(PLAN), rules);
    }

    private Control newControl(long seed) {
        Control control = new Control(settings(510), seed, START);
        control.start();
        return control;
    }

    private void record(long seed) {
        Random random = new Random(seed);
        Control control = newControl(seed);
        double now = START;
        apply(control, now, new RetryBudgetChanged(0.1, 10_000));
        apply(control, now, new EndpointsReceived(endpoints(), true, false));
        for (int i = 0; i < shape.held(); i++) {
            apply(control, now, arrival("h" + i, "patient", now + LONG_READ.deadline(), "v" + i % shape.volumes(), 0));
        }
        for (int i = 0; i < shape.requests(); i++) {
            double next = now - Math.log(1 - random.nextDouble()) * 1_000 / shape.rate();
            while (!scheduled.isEmpty() && scheduled.peek().at <= next) {
                ScheduledEvent due = scheduled.poll();
                apply(control, due.at, due.event);
            }
            now = next;
            int shard = shape.held() > 0 ? 1 + random.nextInt(shape.nodes() - 1) : random.nextInt(shape.nodes());
            apply(control, now, arrival("q" + i, "read", now + READ.deadline(), "v" + random.nextInt(shape.volumes()),
                shard));
        }
    }

    private List<Endpoint> endpoints() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int n = 0; n < shape.nodes(); n++) {
            boolean drains = n == 0 && shape.held() > 0;
            endpoints.add(new Endpoint("node-" + n, "zone-" + n % 6, n, drains ? EndpointState.DRAINING
                : EndpointState.HEALTHY,
                n >= shape.nodes() - shape.cold() ? START : 0));
        }
        return endpoints;
    }

    private static RequestArrived arrival(String id, String requestClass, double deadline, String volume, int shard) {
        return new RequestArrived(id, requestClass, "usual", null, deadline, volume, 2, shard, 3);
    }

    private void apply(Control control, double at, ControlEvent event) {
        recorded.add(new RecordedEvent(at, event));
        if (event instanceof TimerFired) {
            timers++;
            timerAt = at >= timerAt ? Double.POSITIVE_INFINITY : timerAt;
        }
        for (ControlAction action : control.on(at, event)) {
            if (action instanceof SendAttempt s) {
                schedule(at + SERVICE_MS, new AttemptEnded(s.id(), 0, s.node(), AttemptOutcome.SERVED, SERVICE_MS, true,
                    false, 0, -1,
                    Map.of()));
            } else if (action instanceof SetTimer t) {
                scheduleTimer(TICK_MS * Math.ceil(t.at() / TICK_MS), new TimerFired(t.name()));
            }
        }
    }

    private void scheduleTimer(double at, TimerFired fired) {
        if (shape.timers() == Timers.ONE) {
            if (at >= timerAt) {
                return;
            }
            timerAt = at;
        }
        schedule(at, fired);
    }

    private void schedule(double at, ControlEvent event) {
        scheduled.add(new ScheduledEvent(at, order++, event));
    }

    /** Returns a new decision module to which every recorded event has been applied. */
    Control replay(long seed) {
        Control control = newControl(seed);
        for (RecordedEvent r : recorded) {
            control.on(r.at, r.event);
        }
        return control;
    }

    double eventsPerRequest() {
        return (double) recorded.size() / shape.requests();
    }

    double timersPerRequest() {
        return (double) timers / shape.requests();
    }
}
