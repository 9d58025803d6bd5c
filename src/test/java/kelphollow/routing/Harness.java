package kelphollow.routing;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import kelphollow.decision.Control;
import kelphollow.decision.ControlApi.*;
import kelphollow.decision.ListLease;

/** A core with the real module, a clock that the test moves, and a backend that only notes what it is given. */
final class Harness {
    static final RequestClass READ = new RequestClass("read", 300, 2000, 2, 0.1, Effect.SAFE, Group.ALL, 0, false,
        false);
    /** Repeats of it are dropped for less time than a dial may take. */
    static final RequestClass KEYED = new RequestClass("keyed", 300, 2000, 2, 0.1, Effect.KEYED, Group.CELL, 120, false,
        false);
    double now = 1_000;
    final List<Attempt> sent = new ArrayList<>();
    final List<String> retired = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
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
    final Core core;

    Harness(Plan plan) {
        this(plan, ListLease.unbounded());
    }

    Harness(ListLease lease) {
        this(new Plan("free", 10, 5, 1, 1, 0, 0, 0), lease);
    }

    private Harness(Plan plan, ListLease lease) {
        core = new Core(new Control(new Settings(0, 1, "", 1, 3, 100, true, false, 0, 2, 0.4, 0.05, List.of(READ, KEYED),
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

    Harness() {
        this(new Plan("free", 10, 5, 1, 1, 0, 0, 0));
    }

    static Member node(String name, Phase phase) {
        return new Member(new NodeEntry(name, "", 0, phase, 0), new InetSocketAddress(1));
    }

    /** A request of this class and plan, due in 2 s; refusals and failures are noted by key. */
    void ask(String kind, String plan, String key) {
        core.take(new Arrival("", kind, plan, key, now + 2_000, "v", 1, 0, 1), null, new Caller() {
            @Override public void served(Object answer) {}

            @Override public void refused(double after, boolean timedOut) {
                refused.add(key);
            }

            @Override public void failed(boolean timedOut) {
                refused.add(key);
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
        return sent.stream().map(a -> a.member().entry().node()).toList();
    }
}
