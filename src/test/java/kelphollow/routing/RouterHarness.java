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

/** A router with the real decision module, a clock that the test advances, and a backend that records its calls. */
final class RouterHarness {
    static final RequestClass READ = new RequestClass("read", 300, 2000, 2, 0.1, Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL, 0, false, false);
    /** A class whose idempotency window is shorter than the time that connecting may take. */
    static final RequestClass KEYED = new RequestClass("keyed", 300, 2000, 2, 0.1, Idempotency.IDEMPOTENCY_KEY,
        DeduplicationScope.CELL, 120, false, false);
    /** A plan without a limit. */
    static final Plan FREE = new Plan("free", 10, 5, 1, 1, 0, 0, 0);
    private static final Rules RULES = new Rules(250, 0.25, 10_000, 2, 1000, 6, 0, 0, 0, 0, 0);
    /** Longer timers, such as the attempts' timeouts, never run. */
    private static final double LONGEST_TIMER_MS = 2_000;

    private record Timer(double at, Runnable task) {}

    double now = 1_000;
    /** Clock time at which the clients' connections were read to their end last; infinity: they are at any time. */
    double lastReadAt = Double.POSITIVE_INFINITY;
    final List<Attempt> sent = new ArrayList<>();
    /** Nodes whose idle connections the router closed. */
    final List<String> closedIdle = new ArrayList<>();
    /** Attempts that the router cancelled. */
    final List<Attempt> cancelled = new ArrayList<>();
    /** Whether timers fire although they were cancelled, as those do that a late event loop had queued before. */
    boolean cancelledTimersFire;
    /** What the backend throws when an attempt starts; null: nothing. */
    RuntimeException fault;
    /** Keys of the requests that were served. */
    final List<String> served = new ArrayList<>();
    /** Keys of the requests that were rejected or failed. */
    final List<String> rejected = new ArrayList<>();
    private final List<Timer> timers = new ArrayList<>();
    final Ticker ticker = new Ticker() {
        @Override public double now() {
            return now;
        }

        @Override public Timeout after(double millis, Runnable task) {
            Timer timer = new Timer(now + millis, task);
            if (millis <= LONGEST_TIMER_MS) {
                timers.add(timer);
            }
            return () -> {
                if (!cancelledTimersFire) {
                    timers.remove(timer);
                }
            };
        }
    };
    private final Backend backend = new Backend() {
        @Override public void start(Attempt attempt) {
            if (fault != null) {
                throw fault;
            }
            sent.add(attempt);
        }

        @Override public void cancel(Attempt attempt) {
            cancelled.add(attempt);
        }

        @Override public void closeIdleConnections(String node) {
            closedIdle.add(node);
        }
    };
    final RequestRouter router;

    RouterHarness() {
        this(FREE);
    }

    RouterHarness(Plan plan) {
        this(plan, EndpointListLease.unbounded());
    }

    RouterHarness(EndpointListLease lease) {
        this(FREE, lease);
    }

    private RouterHarness(Plan plan, EndpointListLease lease) {
        ControlSettings settings = new ControlSettings(0, 1, "", 1, 3, 100, true, false, 0, 2, 0.4, 0.05,
            List.of(READ, KEYED), List.of(plan), RULES);
        router = new RequestRouter(new Control(settings, 1, now), ticker, backend, lease);
    }

    static ResolvedEndpoint node(String name, EndpointState state) {
        return new ResolvedEndpoint(new Endpoint(name, "", 0, state, 0), new InetSocketAddress(1));
    }

    static List<ResolvedEndpoint> healthy(String... names) {
        List<ResolvedEndpoint> nodes = new ArrayList<>();
        for (String name : names) {
            nodes.add(node(name, EndpointState.HEALTHY));
        }
        return nodes;
    }

    /** Submits a request of this class and plan with a deadline of 2 s. */
    void submit(String requestClass, String plan, String key) {
        RequestArrived arrival = new RequestArrived("", requestClass, plan, key, now + 2_000, "v", 1, 0, 1);
        router.submit(arrival, null, new ResponseCallback() {
            @Override public void served(Object response) {
                served.add(key);
            }

            @Override public void rejected(double retryAfter, boolean timedOut) {
                rejected.add(key);
            }

            @Override public void failed(boolean timedOut) {
                rejected.add(key);
            }

            @Override public double clientConnectedAsOf() {
                return Math.min(now, lastReadAt);
            }
        });
    }

    /** Advances the clock, then runs each timer that is due, once. */
    void advance(double millis) {
        now += millis;
        List<Timer> due = timers.stream().filter(timer -> timer.at <= now).toList();
        timers.removeAll(due);
        due.forEach(timer -> timer.task.run());
    }

    /** Advances the clock in steps, so that timers set by timers run too. */
    void advance(double millis, int times) {
        for (int i = 0; i < times; i++) {
            advance(millis);
        }
    }

    /** The nodes that attempts were sent to, in order. */
    List<String> sentTo() {
        return sent.stream().map(attempt -> attempt.target().endpoint().node()).toList();
    }
}
