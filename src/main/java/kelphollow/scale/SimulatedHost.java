package kelphollow.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import kelphollow.fleet.Fleet;
import kelphollow.protocol.peer.DropReason;
import kelphollow.protocol.peer.Packet;
import kelphollow.protocol.peer.PacketSealer;
import kelphollow.protocol.peer.PeerLine;
import kelphollow.protocol.peer.PeerListener;
import kelphollow.protocol.peer.PeerTransport;
import kelphollow.protocol.peer.Traffic;
import kelphollow.routing.Ticker;

/**
 * Instances on one simulated clock without sockets. Packets are encoded, sealed and counted as on the line, and handed over
 * as objects, which are immutable: what is not simulated is decoding and the check of the seal.
 */
final class SimulatedHost implements FleetHost {
    private static final byte[] CHALLENGE = new byte[16];
    // Segments of a connection from its first to when the called side has the caller's word: SYN, SYN and ACK, ACK with the
    // challenge back, and the word itself.
    private static final int SEGMENTS_TO_ASK = 5;
    // So many full exchanges the called side has at a time, as the line.
    private static final int MOST_CALLERS = 32;

    private record Due(double at, long order, Runnable task) {}

    private final NetworkModel network;
    private final PriorityQueue<Due> dues = new PriorityQueue<>(
        Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private final Map<Integer, Line> lines = new HashMap<>();
    private double now;
    private long order;

    /** {@code start}: what the clock shows at first, in milliseconds. */
    SimulatedHost(NetworkModel network, double start) {
        this.network = network;
        this.now = start;
    }

    private void at(double time, Runnable task) {
        dues.add(new Due(time, order++, task));
    }

    @Override public Ticker ticker(int instance, Gate gate) {
        return new Ticker() {
            @Override public double now() {
                return now;
            }

            @Override public Timeout after(double millis, Runnable task) {
                boolean[] cancelled = {false};
                at(now + Math.max(0, millis), () -> gate.run(() -> {
                    if (!cancelled[0]) {
                        task.run();
                    }
                }));
                return () -> cancelled[0] = true;
            }
        };
    }

    @Override public Fleet.Transports transports(int instance, Gate gate, byte[] key, int mostMembers) {
        return (name, epoch, peers) -> new Line(instance, gate, new PacketSealer(name, epoch, key), name, peers);
    }

    @Override public void open(int instance, Fleet fleet) throws IOException {
        fleet.transport().listen(network.addressOf(instance));
    }

    @Override public <T> T call(int instance, Callable<T> task) {
        try {
            return task.call();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Override public double now() {
        return now;
    }

    @Override public void advance(double millis) {
        double until = now + millis;
        while (!dues.isEmpty() && dues.peek().at <= until) {
            Due due = dues.poll();
            now = Math.max(now, due.at);
            due.task.run();
        }
        now = until;
    }

    @Override public double lateness() {
        return 0;
    }

    @Override public void close() {
        dues.clear();
        lines.clear();
    }

    /** One instance's packets. */
    private final class Line implements PeerTransport {
        private final int self;
        private final Gate gate;
        private final PacketSealer sealer;
        private final String name;
        private final PeerListener peers;
        private final Traffic traffic = new Traffic();
        private final Map<DropReason, Long> drops = new EnumMap<>(DropReason.class);
        private int callers;

        Line(int self, Gate gate, PacketSealer sealer, String name, PeerListener peers) {
            this.self = self;
            this.gate = gate;
            this.sealer = sealer;
            this.name = name;
            this.peers = peers;
        }

        @Override public InetSocketAddress listen(InetSocketAddress at) {
            lines.put(self, this);
            return at;
        }

        @Override public long send(InetSocketAddress to, Packet packet) {
            PacketSealer.Datagram datagram = sealer.datagram(packet);
            int bytes = datagram.bytes().length;
            if (bytes > PeerLine.MAX_DATAGRAM_BYTES) {
                drops.merge(DropReason.OVERSIZED, 1L, Long::sum);
                return 0;
            }
            traffic.sent(Traffic.kind(packet), bytes);
            int target = network.instanceAt(to);
            double takes = target < 0 ? NetworkModel.LOST : network.datagram(self, target);
            Packet arrives = packet instanceof Packet.Membership membership
                ? new Packet.Membership(membership.message(), membership.states().subList(0, datagram.states())) : packet;
            deliver(target, takes, line -> {
                line.traffic.received(Traffic.kind(arrives), bytes);
                if (arrives instanceof Packet.Membership membership) {
                    line.peers.membershipReceived(name, membership);
                } else if (arrives instanceof Packet.Comparison comparison) {
                    line.peers.comparisonReceived(name, comparison);
                }
            });
            return bytes + PeerLine.HEADER_BYTES;
        }

        private void deliver(int target, double takes, Consumer<Line> arrive) {
            if (Double.isNaN(takes)) {
                return;
            }
            at(now + takes, () -> {
                Line line = lines.get(target);
                if (line != null) {
                    line.gate.run(() -> arrive.accept(line));
                }
            });
        }

        @Override public void exchange(String with, InetSocketAddress at, Packet.FullExchange ours) {
            int target = network.instanceAt(at);
            double takes = target < 0 ? NetworkModel.LOST : network.reliable(self, target) + network.reliable(target, self);
            if (Double.isNaN(takes)) {
                return;
            }
            int bytes = sealer.sealed(ours, CHALLENGE).length;
            deliver(target, takes / 2 * SEGMENTS_TO_ASK, line -> line.asked(this, bytes, ours, takes / 2));
            traffic.sent(Traffic.Kind.EXCHANGE, bytes);
        }

        private void asked(Line caller, int bytes, Packet.FullExchange theirs, double back) {
            if (callers >= MOST_CALLERS) {
                drops.merge(DropReason.CROWDED, 1L, Long::sum);
                return;
            }
            callers++;
            traffic.received(Traffic.Kind.EXCHANGE, bytes);
            Packet.FullExchange ours = peers.exchangeRequested(caller.name, theirs);
            int answer = sealer.sealed(ours, CHALLENGE).length;
            traffic.sent(Traffic.Kind.EXCHANGE, answer);
            SimulatedHost.this.at(now + back, () -> {
                callers--;
                if (lines.get(caller.self) == caller) {
                    caller.gate.run(() -> {
                        caller.traffic.received(Traffic.Kind.EXCHANGE, answer);
                        caller.peers.exchangeAnswered(name, ours);
                    });
                }
            });
        }

        @Override public Map<DropReason, Long> drops() {
            return drops;
        }

        @Override public Traffic traffic() {
            return traffic;
        }

        @Override public void close() {
            lines.remove(self, this);
        }
    }
}
