package kelphollow.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import kelphollow.digest.InstanceState;
import kelphollow.dissemination.Dissemination;
import kelphollow.membership.Settings;
import kelphollow.protocol.peer.Packet;
import kelphollow.protocol.peer.PacketSizes;
import kelphollow.protocol.peer.PeerLine;

/**
 * A fleet's control side on one clock by seed: 3 regions of 2 zones, a net that delays, loses and cuts, all packets encoded by the
 * line's codec and counted with header and seal. Guards against a dissemination whose cost or delay grows unseen with size.
 */
final class DisseminationWorld implements Player.Net {
    /** Kinds of traffic. */
    enum Kind { MEMBERSHIP, PARTS, COMPARE, EXCHANGE }

    /**
     * @param before whether all are of the version before
     * @param keys figures in each part
     * @param changeEvery milliseconds between changes of an instance's part, on average; infinite for none
     */
    record Setup(int size, boolean before, int keys, double changeEvery, double fades, Settings membership,
                 Dissemination.Settings telling) {
        static Setup of(int size, boolean before) {
            return new Setup(size, before, 3, Double.POSITIVE_INFINITY, 10_000, Settings.USUAL,
                Dissemination.Settings.USUAL);
        }

        Setup with(int keys, double changeEvery) {
            return new Setup(size, before, keys, changeEvery, fades, membership, telling);
        }
    }

    /** A drain told to one. */
    static final class Drain {
        final String teller, node;
        final double at;
        final Map<String, Double> keptAt = new HashMap<>();

        Drain(String teller, String node, double at) {
            this.teller = teller;
            this.node = node;
            this.at = at;
        }
    }

    private record Due(double at, long order, Runnable task) {}

    private static final double LOOK = 50;
    // A connection's packets beside the two sides: handshakes, challenge, close, with their headers.
    private static final int CONNECTION = 400;
    final long seed;
    final Setup setup;
    final Random random;
    final Map<String, Player> lives = new LinkedHashMap<>();
    final Map<String, Long> epochs = new HashMap<>();
    final Map<String, long[]> bytes = new HashMap<>();
    final Map<String, TreeMap<Double, InstanceState>> history = new HashMap<>();
    final List<Drain> drains = new ArrayList<>();
    BiPredicate<String, String> passes = (from, to) -> true;
    BiPredicate<String, Packet> swallows = (from, packet) -> false;
    double now, loss;
    long datagrams;
    private final PriorityQueue<Due> dues = new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(
        Due::order));
    private final Map<Player, Double> armed = new java.util.IdentityHashMap<>();
    private long order;

    DisseminationWorld(long seed, Setup setup) {
        this.seed = seed;
        this.setup = setup;
        this.random = new Random(seed);
    }

    static String name(int index) {
        return String.format("scheduler-%03d", index);
    }

    static int region(String name) {
        return Integer.parseInt(name.substring(10)) % 3;
    }

    static int zone(String name) {
        return Integer.parseInt(name.substring(10)) % 6;
    }

    // ---------------------------------------------------------------- lives

    void fleet() {
        for (int i = 0; i < setup.size; i++) {
            start(name(i), setup.before);
        }
    }

    void start(String name, boolean before) {
        long epoch = epochs.merge(name, 1L, Long::sum);
        List<String> peers = List.of(name(0), name(1), name(2));
        Random own = new Random(random.nextLong());
        Player player = before ? new Player.Before(setup, name, epoch, peers, own, now, this)
            : new Player.Now(setup, name, epoch, peers, own, now, this);
        lives.put(name, player);
        bytes.computeIfAbsent(name, n -> new long[Kind.values().length]);
        for (int i = 0; i < setup.keys; i++) {
            player.say("silent", String.format("node-%04d", (i * 37 + name.hashCode() & 0xffff) % 1000), 1);
        }
        at(now + random.nextDouble() * LOOK, () -> look(name, player));
        change(name, player);
        wake(name, player);
    }

    void kill(String name) {
        lives.remove(name);
    }

    private void look(String name, Player player) {
        if (lives.get(name) == player) {
            player.look(now);
            remember(name, player);
            at(now + LOOK, () -> look(name, player));
        }
    }

    private void remember(String name, Player player) {
        InstanceState own = player.part(name);
        TreeMap<Double, InstanceState> past = history.computeIfAbsent(name, n -> new TreeMap<>());
        if (own != null && (past.isEmpty() || past.lastEntry().getValue() != own)) {
            past.put(now, own);
        }
    }

    private void change(String name, Player player) {
        if (setup.changeEvery < Double.POSITIVE_INFINITY) {
            at(now + setup.changeEvery * 2 * random.nextDouble(), () -> {
                if (lives.get(name) == player) {
                    player.say("silent", "node-changing", now);
                    change(name, player);
                }
            });
        }
    }

    /** A drain is told to one; all that live are to keep it. */
    Drain drain(String teller, String node) {
        Drain drain = new Drain(teller, node, now);
        drains.add(drain);
        lives.get(teller).say("drain", node, 5);
        lives.get(teller).look(now);
        remember(teller, lives.get(teller));
        return drain;
    }

    private void keep(String name, Player player) {
        for (Drain d : drains) {
            if (!d.keptAt.containsKey(name)) {
                InstanceState part = player.part(d.teller);
                if (part != null && part.subjects().getOrDefault("drain", Map.of()).containsKey(d.node)) {
                    d.keptAt.put(name, now);
                }
            }
        }
    }

    // ---------------------------------------------------------------- the net

    private void at(double time, Runnable task) {
        dues.add(new Due(time, order++, task));
    }

    private void wake(String name, Player player) {
        double when = Math.max(now, player.membership().nextAt());
        if (when >= armed.getOrDefault(player, Double.POSITIVE_INFINITY)) {
            return;
        }
        armed.put(player, when);
        at(when, () -> {
            if (lives.get(name) == player && armed.get(player) == when) {
                armed.remove(player);
                player.tick(now);
                wake(name, player);
            }
        });
    }

    private double delay(String from, String to) {
        double base = region(from) != region(to) ? 40 : zone(from) != zone(to) ? 2 : 0.5;
        return base * (0.75 + 0.5 * random.nextDouble());
    }

    private void charge(String name, Kind kind, long cost) {
        bytes.get(name)[kind.ordinal()] += cost;
    }

    @Override public long send(String from, String to, Packet packet) {
        datagrams++;
        int header = PeerLine.HEADERS + PacketSizes.SEAL, all = PacketSizes.of(packet);
        if (packet instanceof Packet.Small small) {
            boolean alone = small.message() instanceof kelphollow.membership.Message.Gossip && small.message().news()
                .isEmpty();
            int message = alone ? 0 : header + (small.parts().isEmpty() ? all : PacketSizes.of(PacketSizes.bare(packet)));
            charge(from, Kind.MEMBERSHIP, message);
            charge(from, Kind.PARTS, header + all - message);
        } else {
            charge(from, Kind.COMPARE, header + all);
        }
        if (random.nextDouble() >= loss && lives.containsKey(to) && !swallows.test(from, packet)) {
            at(now + delay(from, to), () -> {
                Player player = lives.get(to);
                if (player != null && passes.test(from, to)) {
                    player.received(now, from, packet);
                    keep(to, player);
                    wake(to, player);
                }
            });
        }
        return header + all;
    }

    @Override public void exchange(String from, String with, Packet.Full ours) {
        Player caller = lives.get(from);
        double there = delay(from, with);
        charge(from, Kind.EXCHANGE, 60);
        at(now + 2 * there, () -> {
            Player called = lives.get(with);
            if (called == null || lives.get(from) != caller || !passes.test(from, with) || !passes.test(with, from)) {
                return;
            }
            charge(from, Kind.EXCHANGE, CONNECTION + PacketSizes.SEAL + PacketSizes.of(ours));
            Packet.Full theirs = called.asked(now, from, ours);
            charge(with, Kind.EXCHANGE, CONNECTION + PacketSizes.SEAL + PacketSizes.of(theirs));
            keep(with, called);
            wake(with, called);
            at(now + there, () -> {
                if (lives.get(from) == caller) {
                    caller.answered(now, with, theirs);
                    keep(from, caller);
                    wake(from, caller);
                }
            });
        });
    }

    void run(double until) {
        while (!dues.isEmpty() && dues.peek().at <= until) {
            Due due = dues.poll();
            now = Math.max(now, due.at);
            due.task.run();
        }
        now = until;
    }

    // ---------------------------------------------------------------- what is measured

    /** Bytes sent by each that lives since the counters were cleared, by kind. */
    Map<Kind, Double> bytesPerSecond(double since) {
        Map<Kind, Double> sums = new EnumMap<>(Kind.class);
        for (Kind kind : Kind.values()) {
            sums.put(kind, lives.keySet().stream().mapToLong(n -> bytes.get(n)[kind.ordinal()]).average().orElse(0)
                / (now - since) * 1_000);
        }
        return sums;
    }

    /** The same of each instance, all kinds together, in order of size. */
    double[] totals(double since) {
        return lives.keySet().stream().mapToDouble(n -> java.util.Arrays.stream(bytes.get(n)).sum() / (now - since) * 1_000)
            .sorted().toArray();
    }

    void clearCounters() {
        bytes.values().forEach(b -> java.util.Arrays.fill(b, 0));
    }

    /** Share of the living's parts that the living hold, no older than what the owner said {@code fades} ago. */
    double fresh() {
        long fresh = 0, all = 0;
        for (String owner : lives.keySet()) {
            Map.Entry<Double, InstanceState> due = history.getOrDefault(owner, new TreeMap<>()).floorEntry(now
                - setup.fades);
            for (Player viewer : lives.values()) {
                InstanceState part = viewer.part(owner);
                all++;
                fresh += part != null && (due == null || !due.getValue().replaces(part)) ? 1 : 0;
            }
        }
        return (double) fresh / all;
    }

    /** How many of the living see all others as present, and only those. */
    long rightViews() {
        return lives.entrySet().stream().filter(e -> new java.util.HashSet<>(e.getValue().membership().present()).equals(
            lives.keySet().stream().filter(n -> !n.equals(e.getKey())).collect(java.util.stream.Collectors.toSet())))
            .count();
    }

    /** Milliseconds until each that lives kept each drain, infinite if it did not; {@code within}: of the teller's region or not. */
    double[] drainDelays(Boolean within) {
        List<Double> delays = new ArrayList<>();
        for (Drain d : drains) {
            for (String name : lives.keySet()) {
                if (!name.equals(d.teller) && (within == null || within == (region(name) == region(d.teller)))) {
                    delays.add(d.keptAt.getOrDefault(name, Double.POSITIVE_INFINITY) - d.at);
                }
            }
        }
        return delays.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }

    static double percentile(double[] sorted, double share) {
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.min(sorted.length - 1, Math.floor(share
            * sorted.length))];
    }
}
