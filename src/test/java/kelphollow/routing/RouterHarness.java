package kelphollow.routing;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import kelphollow.decision.Control;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.ControlSettings.Rules;
import kelphollow.decision.EndpointListLease;

/** A core with the real module, a clock that the test moves, and a backend that only notes what it is given. */
final class RouterHarness {
    static final RequestClass READ = new RequestClass("read", 300, 2000, 2, 0.1, Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL, 0, false,
        false);
    /** Repeats of it are dropped for less time than a dial may take. */
    static final RequestClass KEYED = new RequestClass("keyed", 300, 2000, 2, 0.1, Idempotency.IDEMPOTENCY_KEY,
        DeduplicationScope.CELL, 120, false,
        false);
    double now = 1_000;
    final List<Attempt> sent = new ArrayList<>();
    final List<String> retired = new ArrayList<>();
    final List<String> rejected = new ArrayList<>();
    private record Timer(double at, Runnable task) {}

    /** Wake-ups, run by {@link #pass} when due; the attempts' time-outs (over 1.5 s) are left out. */
    private final List<Timer> timers = new ArrayList<>();
    final Ticker ticker = new Ticker() {
        @Override public double now() {
            return now;
        }

        @Override public Timeout after(double millis, Runnable task) {
            Timer timer = new Timer(now + millis, task);
            if (millis <= 1_500) {
                timers.add(timer);
            }
            return () -> timers.remove(timer);
        }
    };
    final RequestRouter router;

    RouterHarness(Plan plan) {
        this(plan, EndpointListLease.unbounded());
    }

    RouterHarness(EndpointListLease lease) {
        this(new Plan("free", 10, 5, 1, 1, 0, 0, 0), lease);
    }

    private RouterHarness(Plan plan, EndpointListLease lease) {
        router = new RequestRouter(new Control(new ControlSettings(0, 1, "", 1, 3, 100, true, false, 0, 2, 0.4, 0.05, List
            .of(READ, KEYED),
            List.of(plan), new Rules(250, 0.25, 10_000, 2, 1000, 6, 0, 0, 0, 0, 0)), 1, now), ticker, new Backend() {
                @Override public void start(Attempt attempt) {
                    sent.add(attempt);
                }

                @Override public void abandon(Attempt attempt) {}

                @Override public void retire(String node) {
                    retired.add(node);
                }
            }, lease);
    }

    RouterHarness() {
        this(new Plan("free", 10, 5, 1, 1, 0, 0, 0));
    }

    static ResolvedEndpoint node(String name, EndpointState phase) {
        return new ResolvedEndpoint(new Endpoint(name, "", 0, phase, 0), new InetSocketAddress(1));
    }

    /** A request of this class and plan, due in 2 s; refusals and failures are noted by key. */
    void ask(String kind, String plan, String key) {
        router.take(new RequestArrived("", kind, plan, key, now + 2_000, "v", 1, 0, 1), null, new ResponseCallback() {
            @Override public void served(Object answer) {}

            @Override public void rejected(double after, boolean timedOut) {
                rejected.add(key);
            }

            @Override public void failed(boolean timedOut) {
                rejected.add(key);
            }
        });
    }

    void pass(double millis) {
        now += millis;
        List<Timer> due = timers.stream().filter(t -> t.at <= now).toList();
        timers.removeAll(due);
        due.forEach(t -> t.task.run());
    }

    List<String> sentTo() {
        return sent.stream().map(a -> a.target().endpoint().node()).toList();
    }
}
