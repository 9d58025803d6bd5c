package kelphollow.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import kelphollow.digest.InstanceState;
import kelphollow.digest.Subject;
import kelphollow.dissemination.DisseminationSettings;
import kelphollow.membership.MembershipSettings;
import kelphollow.membership.Message;
import kelphollow.protocol.peer.Packet;
import kelphollow.protocol.peer.PacketSizes;
import kelphollow.protocol.peer.SocketPeerTransport;

/**
 * Seeded simulation of a fleet's gossip on one clock: 3 regions of 2 zones each, and a network that delays, loses and
 * partitions. All packets are encoded by the codec and counted with header and seal. Guards against dissemination whose cost
 * or delay grows unnoticed with the fleet's size.
 */
final class DisseminationWorld implements SimulatedPeer.Network {
    enum Kind { MEMBERSHIP, STATES, COMPARISON, EXCHANGE }

    /**
     * @param previous whether all instances are of the previous version
     * @param keys number of values in each state
     * @param changeInterval mean milliseconds between changes of an instance's state; infinite for none
     */
    record Setup(int size, boolean previous, int keys, double changeInterval, double timeToLive,
                 MembershipSettings membership, DisseminationSettings dissemination) {
        static Setup of(int size, boolean previous) {
            return new Setup(size, previous, 3, Double.POSITIVE_INFINITY, 10_000, MembershipSettings.DEFAULTS,
                DisseminationSettings.DEFAULTS);
        }

        Setup with(int keys, double changeInterval) {
            return new Setup(size, previous, keys, changeInterval, timeToLive, membership, dissemination);
        }
    }

    /** A drain that one instance is notified of. */
    static final class Drain {
        final String reporter;
        final String node;
        final double at;
        final Map<String, Double> receivedAt = new HashMap<>();

        Drain(String reporter, String node, double at) {
            this.reporter = reporter;
            this.node = node;
            this.at = at;
        }
    }

    private record ScheduledTask(double at, long order, Runnable task) {}

    private static final double TICK_MS = 50;
    // Bytes of a connection without the two exchanged parts: handshakes, challenge and close, with their headers.
    private static final int CONNECTION_BYTES = 400;
    final long seed;
    final Setup setup;
    final Random random;
    final Map<String, SimulatedPeer> running = new LinkedHashMap<>();
    final Map<String, Long> epochs = new HashMap<>();
    final Map<String, long[]> bytes = new HashMap<>();
    final Map<String, TreeMap<Double, InstanceState>> history = new HashMap<>();
    final List<Drain> drains = new ArrayList<>();
    BiPredicate<String, String> connected = (from, to) -> true;
    BiPredicate<String, Packet> drops = (from, packet) -> false;
    double now;
    double loss;
    long datagrams;
    private final PriorityQueue<ScheduledTask> schedule = new PriorityQueue<>(
        Comparator.comparingDouble(ScheduledTask::at).thenComparingLong(ScheduledTask::order));
    private final Map<SimulatedPeer, Double> wakeUps = new IdentityHashMap<>();
    private long nextOrder;

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

    // ---------------------------------------------------------------- instances

    void startFleet() {
        for (int i = 0; i < setup.size; i++) {
            start(name(i), setup.previous);
        }
    }

    void start(String name, boolean previous) {
        long epoch = epochs.merge(name, 1L, Long::sum);
        List<String> peers = List.of(name(0), name(1), name(2));
        Random own = new Random(random.nextLong());
        SimulatedPeer peer = previous ? new SimulatedPeer.Previous(setup, name, epoch, peers, own, now, this)
            : new SimulatedPeer.Current(setup, name, epoch, peers, own, now, this);
        running.put(name, peer);
        bytes.computeIfAbsent(name, n -> new long[Kind.values().length]);
        for (int i = 0; i < setup.keys; i++) {
            peer.publish(Subject.UNRESPONSIVE_NODE, String.format("node-%04d", (i * 37 + name.hashCode() & 0xffff) % 1000),
                1);
        }
        at(now + random.nextDouble() * TICK_MS, () -> tick(name, peer));
        scheduleChange(name, peer);
        scheduleMembershipTick(name, peer);
    }

    void kill(String name) {
        running.remove(name);
    }

    private void tick(String name, SimulatedPeer peer) {
        if (running.get(name) == peer) {
            peer.tickDissemination(now);
            recordHistory(name, peer);
            at(now + TICK_MS, () -> tick(name, peer));
        }
    }

    private void recordHistory(String name, SimulatedPeer peer) {
        InstanceState own = peer.state(name);
        TreeMap<Double, InstanceState> past = history.computeIfAbsent(name, n -> new TreeMap<>());
        if (own != null && (past.isEmpty() || past.lastEntry().getValue() != own)) {
            past.put(now, own);
        }
    }

    private void scheduleChange(String name, SimulatedPeer peer) {
        if (setup.changeInterval < Double.POSITIVE_INFINITY) {
            at(now + setup.changeInterval * 2 * random.nextDouble(), () -> {
                if (running.get(name) == peer) {
                    peer.publish(Subject.UNRESPONSIVE_NODE, "node-changing", now);
                    scheduleChange(name, peer);
                }
            });
        }
    }

    /** Notifies one instance of a drain, which all running instances must learn. */
    Drain drain(String reporter, String node) {
        Drain drain = new Drain(reporter, node, now);
        drains.add(drain);
        running.get(reporter).publish(Subject.DRAIN, node, 5);
        running.get(reporter).tickDissemination(now);
        recordHistory(reporter, running.get(reporter));
        return drain;
    }

    private void recordDrains(String name, SimulatedPeer peer) {
        for (Drain d : drains) {
            if (!d.receivedAt.containsKey(name)) {
                InstanceState state = peer.state(d.reporter);
                if (state != null && state.values(Subject.DRAIN).containsKey(d.node)) {
                    d.receivedAt.put(name, now);
                }
            }
        }
    }

    // ---------------------------------------------------------------- the network

    private void at(double time, Runnable task) {
        schedule.add(new ScheduledTask(time, nextOrder++, task));
    }

    private void scheduleMembershipTick(String name, SimulatedPeer peer) {
        double when = Math.max(now, peer.membership().nextTickAt());
        if (when >= wakeUps.getOrDefault(peer, Double.POSITIVE_INFINITY)) {
            return;
        }
        wakeUps.put(peer, when);
        at(when, () -> {
            if (running.get(name) == peer && wakeUps.get(peer) == when) {
                wakeUps.remove(peer);
                peer.tickMembership(now);
                scheduleMembershipTick(name, peer);
            }
        });
    }

    private double delay(String from, String to) {
        double base = region(from) != region(to) ? 40 : zone(from) != zone(to) ? 2 : 0.5;
        return base * (0.75 + 0.5 * random.nextDouble());
    }

    private void countBytes(String name, Kind kind, long cost) {
        bytes.get(name)[kind.ordinal()] += cost;
    }

    @Override public long send(String from, String to, Packet packet) {
        datagrams++;
        int header = SocketPeerTransport.HEADER_BYTES + PacketSizes.SEAL_BYTES;
        int all = PacketSizes.of(packet);
        if (packet instanceof Packet.Membership membership) {
            boolean statesOnly = membership.message() instanceof Message.Gossip && membership.message().updates().isEmpty();
            int message = statesOnly ? 0
                : header + (membership.states().isEmpty() ? all : PacketSizes.of(PacketSizes.withoutStates(packet)));
            countBytes(from, Kind.MEMBERSHIP, message);
            countBytes(from, Kind.STATES, header + all - message);
        } else {
            countBytes(from, Kind.COMPARISON, header + all);
        }
        if (random.nextDouble() >= loss && running.containsKey(to) && !drops.test(from, packet)) {
            at(now + delay(from, to), () -> {
                SimulatedPeer peer = running.get(to);
                if (peer != null && connected.test(from, to)) {
                    peer.received(now, from, packet);
                    recordDrains(to, peer);
                    scheduleMembershipTick(to, peer);
                }
            });
        }
        return header + all;
    }

    @Override public void exchange(String from, String with, Packet.FullExchange ours) {
        SimulatedPeer caller = running.get(from);
        double oneWayDelay = delay(from, with);
        countBytes(from, Kind.EXCHANGE, 60);
        at(now + 2 * oneWayDelay, () -> {
            SimulatedPeer called = running.get(with);
            if (called == null || running.get(from) != caller || !connected.test(from, with) || !connected.test(with,
                from)) {
                return;
            }
            countBytes(from, Kind.EXCHANGE, CONNECTION_BYTES + PacketSizes.SEAL_BYTES + PacketSizes.of(ours));
            Packet.FullExchange theirs = called.exchangeRequested(now, from, ours);
            countBytes(with, Kind.EXCHANGE, CONNECTION_BYTES + PacketSizes.SEAL_BYTES + PacketSizes.of(theirs));
            recordDrains(with, called);
            scheduleMembershipTick(with, called);
            at(now + oneWayDelay, () -> {
                if (running.get(from) == caller) {
                    caller.exchangeAnswered(now, with, theirs);
                    recordDrains(from, caller);
                    scheduleMembershipTick(from, caller);
                }
            });
        });
    }

    void run(double until) {
        while (!schedule.isEmpty() && schedule.peek().at <= until) {
            ScheduledTask task = schedule.poll();
            now = Math.max(now, task.at);
            task.task.run();
        }
        now = until;
    }

    // ---------------------------------------------------------------- what is measured

    /** Mean bytes per second sent by a running instance since the counters were cleared, by kind of traffic. */
    Map<Kind, Double> bytesPerSecond(double since) {
        Map<Kind, Double> sums = new EnumMap<>(Kind.class);
        for (Kind kind : Kind.values()) {
            sums.put(kind, running.keySet().stream().mapToLong(n -> bytes.get(n)[kind.ordinal()]).average().orElse(0)
                / (now - since) * 1_000);
        }
        return sums;
    }

    /** Bytes per second sent by each running instance, all kinds together, in ascending order. */
    double[] totals(double since) {
        return running.keySet().stream().mapToDouble(n -> Arrays.stream(bytes.get(n)).sum() / (now - since) * 1_000)
            .sorted().toArray();
    }

    void clearCounters() {
        bytes.values().forEach(b -> Arrays.fill(b, 0));
    }

    /** Fraction of the running instances' views of each other that are at most one time to live out of date. */
    double freshFraction() {
        long fresh = 0;
        long all = 0;
        for (String owner : running.keySet()) {
            Map.Entry<Double, InstanceState> due = history.getOrDefault(owner, new TreeMap<>()).floorEntry(now
                - setup.timeToLive);
            for (SimulatedPeer viewer : running.values()) {
                InstanceState state = viewer.state(owner);
                all++;
                fresh += state != null && (due == null || !due.getValue().supersedes(state)) ? 1 : 0;
            }
        }
        return (double) fresh / all;
    }

    /** Number of running instances that see exactly the other running ones as present. */
    long correctViews() {
        return running.entrySet().stream().filter(e -> new HashSet<>(e.getValue().membership().presentMembers())
            .equals(
                running.keySet().stream().filter(n -> !n.equals(e.getKey())).collect(Collectors.toSet())))
            .count();
    }

    /**
     * Milliseconds until each running instance learned each drain, in ascending order; infinite if it did not.
     *
     * @param within whether to include instances in the reporter's region, or those outside; null for all
     */
    double[] drainDelays(Boolean within) {
        List<Double> delays = new ArrayList<>();
        for (Drain d : drains) {
            for (String name : running.keySet()) {
                if (!name.equals(d.reporter) && (within == null || within == (region(name) == region(d.reporter)))) {
                    delays.add(d.receivedAt.getOrDefault(name, Double.POSITIVE_INFINITY) - d.at);
                }
            }
        }
        return delays.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }

    static double percentile(double[] sorted, double fraction) {
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.min(sorted.length - 1, Math.floor(fraction
            * sorted.length))];
    }
}
