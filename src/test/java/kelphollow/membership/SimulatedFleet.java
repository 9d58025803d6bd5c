package kelphollow.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;
import kelphollow.membership.MemberUpdate.State;
import kelphollow.membership.MembershipOutput.Kind;

/** A fleet simulated on one clock and from one seed, over a network that can lose and delay messages and be partitioned. */
final class SimulatedFleet {
    record ScheduledTask(double at, long order, Runnable task) {}

    record ObservedEvent(double at, String observer, Kind kind, String subject) {}

    final Random random;
    final long seed;
    final MembershipSettings settings;
    final Map<String, Membership> running = new LinkedHashMap<>();
    final Map<String, Long> epochs = new HashMap<>();
    final Map<String, Double> pausedUntil = new HashMap<>();
    final Map<Membership, Double> nextTicks = new IdentityHashMap<>();
    final List<ObservedEvent> events = new ArrayList<>();
    final PriorityQueue<ScheduledTask> schedule = new PriorityQueue<>(
        Comparator.comparingDouble(ScheduledTask::at).thenComparingLong(ScheduledTask::order));
    BiPredicate<String, String> canReach = (from, to) -> true;
    double now;
    double loss;
    double delay = 2;
    long messages;
    private long nextOrder;

    SimulatedFleet(long seed, MembershipSettings settings) {
        this.seed = seed;
        this.random = new Random(seed);
        this.settings = settings;
    }

    void start(String name, String... peers) {
        long epoch = epochs.merge(name, 1L, Long::sum);
        Membership membership = new Membership(settings, name, name + "@", epoch, List.of(peers),
            new Random(random.nextLong()), now);
        running.put(name, membership);
        scheduleTick(name, membership);
    }

    void startAll(int size) {
        for (int i = 0; i < size; i++) {
            start("i" + i, "i0", "i1", "i2");
        }
    }

    void kill(String name) {
        running.remove(name);
    }

    private void at(double time, Runnable task) {
        schedule.add(new ScheduledTask(time, nextOrder++, task));
    }

    /** Schedules the next tick, and replaces one that is scheduled for later. */
    void scheduleTick(String name, Membership membership) {
        double when = Math.max(now, Math.max(membership.nextTickAt(), pausedUntil.getOrDefault(name, 0.0)));
        if (when >= nextTicks.getOrDefault(membership, Double.POSITIVE_INFINITY)) {
            return;
        }
        nextTicks.put(membership, when);
        at(when, () -> {
            if (running.get(name) == membership && nextTicks.get(membership) == when) {
                nextTicks.remove(membership);
                if (now >= pausedUntil.getOrDefault(name, 0.0)) {
                    carryOut(name, membership, membership.tick(now));
                }
                scheduleTick(name, membership);
            }
        });
    }

    void carryOut(String name, Membership membership, List<MembershipOutput> outputs) {
        for (MembershipOutput output : outputs) {
            if (output instanceof MembershipOutput.Send send) {
                messages++;
                post(name, send.to(), loss, to -> carryOut(send.to(), to, to.received(now, name, send.message())));
            } else if (output instanceof MembershipOutput.FullExchange exchange) {
                List<MemberUpdate> mine = membership.snapshot();
                post(name, exchange.peer(), 0, to -> {
                    List<MemberUpdate> theirs = to.snapshot();
                    carryOut(exchange.peer(), to, to.merge(now, name, mine));
                    post(exchange.peer(), name, 0, back -> carryOut(name, back, back.merge(now, exchange.peer(), theirs)));
                });
            } else if (output instanceof MembershipOutput.Event event) {
                events.add(new ObservedEvent(now, name, event.kind(), event.name()));
            } else if (output instanceof MembershipOutput.EpochRaised raised) {
                epochs.put(name, raised.epoch());
            }
        }
    }

    private void post(String from, String to, double lossRate, java.util.function.Consumer<Membership> arrive) {
        if (random.nextDouble() < lossRate) {
            return;
        }
        at(now + delay * (0.5 + random.nextDouble()), () -> deliver(from, to, arrive));
    }

    private void deliver(String from, String to, java.util.function.Consumer<Membership> arrive) {
        double until = pausedUntil.getOrDefault(to, 0.0);
        if (now < until) {
            at(until, () -> deliver(from, to, arrive));   // the message waits in the socket of the paused process
        } else if (running.containsKey(to) && canReach.test(from, to)) {
            arrive.accept(running.get(to));
            // the message may have made the next tick due earlier
            scheduleTick(to, running.get(to));
        }
    }

    void run(double until) {
        while (!schedule.isEmpty() && schedule.peek().at <= until) {
            ScheduledTask task = schedule.poll();
            now = Math.max(now, task.at);
            task.task.run();
        }
        now = until;
    }

    List<ObservedEvent> events(Kind kind, double from) {
        return events.stream().filter(e -> e.kind == kind && e.at >= from).toList();
    }

    /** Asserts that each running instance sees exactly the other running ones as present and alive. */
    void assertViews(String stage) {
        running.forEach((name, membership) -> {
            List<String> others = running.keySet().stream().filter(n -> !n.equals(name)).sorted().toList();
            assertEquals(others, membership.presentMembers(), stage + ", seen by " + name + ", seed " + seed);
            for (MemberView v : membership.view()) {
                if (running.containsKey(v.name())) {
                    assertEquals(State.ALIVE, v.state(), stage + ": " + v + " seen by " + name + ", seed " + seed);
                }
            }
        });
    }
}
