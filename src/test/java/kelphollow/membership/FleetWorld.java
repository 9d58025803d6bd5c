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
import kelphollow.membership.Membership.View;
import kelphollow.membership.MemberUpdate.State;
import kelphollow.membership.Output.Kind;

/** A fleet on one clock, with a net that loses, delays and cuts, by seed. */
final class FleetWorld {
    record Due(double at, long order, Runnable task) {}

    record Seen(double at, String by, Kind kind, String of) {}

    final Random random;
    final long seed;
    final Settings settings;
    final Map<String, Membership> lives = new LinkedHashMap<>();
    final Map<String, Long> epochs = new HashMap<>();
    final Map<String, Double> sleepsUntil = new HashMap<>();
    final Map<Membership, Double> armed = new IdentityHashMap<>();
    final List<Seen> seen = new ArrayList<>();
    final PriorityQueue<Due> dues = new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    BiPredicate<String, String> passes = (from, to) -> true;
    double now, loss, delay = 2;
    long order, messages;

    FleetWorld(long seed, Settings settings) {
        this.seed = seed;
        this.random = new Random(seed);
        this.settings = settings;
    }

    void start(String name, String... peers) {
        long epoch = epochs.merge(name, 1L, Long::sum);
        Membership life = new Membership(settings, name, name + "@", epoch, List.of(peers), new Random(random.nextLong()),
            now);
        lives.put(name, life);
        wake(name, life);
    }

    void fleet(int size) {
        for (int i = 0; i < size; i++) {
            start("i" + i, "i0", "i1", "i2");
        }
    }

    void kill(String name) {
        lives.remove(name);
    }

    private void at(double time, Runnable task) {
        dues.add(new Due(time, order++, task));
    }

    /** One wake-up an instance: a later one that is armed already is left to run into nothing. */
    void wake(String name, Membership life) {
        double when = Math.max(now, Math.max(life.nextAt(), sleepsUntil.getOrDefault(name, 0.0)));
        if (when >= armed.getOrDefault(life, Double.POSITIVE_INFINITY)) {
            return;
        }
        armed.put(life, when);
        at(when, () -> {
            if (lives.get(name) == life && armed.get(life) == when) {
                armed.remove(life);
                if (now >= sleepsUntil.getOrDefault(name, 0.0)) {
                    carryOut(name, life, life.tick(now));
                }
                wake(name, life);
            }
        });
    }

    void carryOut(String name, Membership life, List<Output> outputs) {
        for (Output output : outputs) {
            if (output instanceof Output.Send send) {
                messages++;
                post(name, send.to(), loss, to -> carryOut(send.to(), to, to.received(now, name, send.message())));
            } else if (output instanceof Output.Exchange exchange) {
                List<MemberUpdate> mine = life.all();
                post(name, exchange.with(), 0, to -> {
                    List<MemberUpdate> theirs = to.all();
                    carryOut(exchange.with(), to, to.told(now, name, mine));
                    post(exchange.with(), name, 0, back -> carryOut(name, back, back.told(now, exchange.with(), theirs)));
                });
            } else if (output instanceof Output.Event event) {
                seen.add(new Seen(now, name, event.kind(), event.name()));
            } else if (output instanceof Output.Raised raised) {
                epochs.put(name, raised.epoch());
            }
        }
    }

    private void post(String from, String to, double lost, java.util.function.Consumer<Membership> arrive) {
        if (random.nextDouble() < lost) {
            return;
        }
        at(now + delay * (0.5 + random.nextDouble()), () -> deliver(from, to, arrive));
    }

    private void deliver(String from, String to, java.util.function.Consumer<Membership> arrive) {
        double until = sleepsUntil.getOrDefault(to, 0.0);
        if (now < until) {
            at(until, () -> deliver(from, to, arrive));   // it waits in the sleeper's socket
        } else if (lives.containsKey(to) && passes.test(from, to)) {
            arrive.accept(lives.get(to));
            // news may have made something due earlier
            wake(to, lives.get(to));
        }
    }

    void run(double until) {
        while (!dues.isEmpty() && dues.peek().at <= until) {
            Due due = dues.poll();
            now = Math.max(now, due.at);
            due.task.run();
        }
        now = until;
    }

    List<Seen> seen(Kind kind, double from) {
        return seen.stream().filter(s -> s.kind == kind && s.at >= from).toList();
    }

    /** Every living instance sees just these as present, itself aside. */
    void assertViews(String what) {
        lives.forEach((name, life) -> {
            List<String> others = lives.keySet().stream().filter(n -> !n.equals(name)).sorted().toList();
            assertEquals(others, life.present(), what + ", seen by " + name + ", seed " + seed);
            for (View v : life.view()) {
                if (lives.containsKey(v.name())) {
                    assertEquals(State.ALIVE, v.state(), what + ": " + v + " seen by " + name + ", seed " + seed);
                }
            }
        });
    }
}
