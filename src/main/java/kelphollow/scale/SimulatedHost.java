package kelphollow.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.Supplier;
import kelphollow.fleet.Fleet;
import kelphollow.protocol.peer.DropReason;
import kelphollow.protocol.peer.Packet;
import kelphollow.protocol.peer.PacketSealer;
import kelphollow.protocol.peer.PeerListener;
import kelphollow.protocol.peer.PeerTransport;
import kelphollow.protocol.peer.SocketPeerTransport;
import kelphollow.protocol.peer.Traffic;
import kelphollow.routing.Ticker;

/**
 * Runs instances on one simulated clock without sockets. Packets are encoded, sealed and counted as by
 * {@link SocketPeerTransport}, but delivered as immutable objects, without decoding and authentication. Confined to the
 * run's thread.
 */
final class SimulatedHost implements FleetHost {
    private static final byte[] CHALLENGE = new byte[16];
    /** One-way trips until the callee has the caller's message: SYN, SYN-ACK, ACK, challenge, message. */
    private static final int TRIPS_TO_MESSAGE = 5;
    /** Full exchanges that the callee handles at a time, as in {@link SocketPeerTransport}. */
    private static final int MAX_CALLERS = 32;

    /** A task due at a time; tasks of the same time run in the order in which they were scheduled. */
    private record ScheduledTask(double at, long order, Runnable task) {}

    private final NetworkModel network;
    private final PriorityQueue<ScheduledTask> schedule = new PriorityQueue<>(
        Comparator.comparingDouble(ScheduledTask::at).thenComparingLong(ScheduledTask::order));
    private final Map<Integer, SimulatedTransport> transports = new HashMap<>();
    private double now;
    private long order;

    /** Creates a host whose clock starts at {@code start}, in milliseconds. */
    SimulatedHost(NetworkModel network, double start) {
        this.network = network;
        this.now = start;
    }

    private void schedule(double time, Runnable task) {
        schedule.add(new ScheduledTask(time, order, task));
        order++;
    }

    @Override public Ticker ticker(int instance, SuspendableExecutor process) {
        return new Ticker() {
            @Override public double now() {
                return now;
            }

            @Override public Timeout after(double millis, Runnable task) {
                boolean[] cancelled = {false};
                schedule(now + Math.max(0, millis), () -> process.execute(() -> {
                    if (!cancelled[0]) {
                        task.run();
                    }
                }));
                return () -> cancelled[0] = true;
            }
        };
    }

    @Override public Fleet.TransportFactory transports(int instance, SuspendableExecutor process, byte[] key,
        int maxMembers) {
        return (name, epoch, peers) -> new SimulatedTransport(instance, process, new PacketSealer(name, epoch, key), name,
            peers);
    }

    @Override public void open(int instance, Fleet fleet) throws IOException {
        fleet.transport().listen(network.addressOf(instance));
    }

    @Override public <T> T call(int instance, Supplier<T> task) {
        return task.get();
    }

    @Override public double now() {
        return now;
    }

    @Override public void advance(double millis) {
        double until = now + millis;
        while (!schedule.isEmpty() && schedule.peek().at <= until) {
            ScheduledTask next = schedule.poll();
            now = Math.max(now, next.at);
            next.task.run();
        }
        now = until;
    }

    @Override public double p99Lateness() {
        return 0;
    }

    @Override public void close() {
        schedule.clear();
        transports.clear();
    }

    /** Sends and receives the packets of one instance. */
    private final class SimulatedTransport implements PeerTransport {
        private final int self;
        private final SuspendableExecutor process;
        private final PacketSealer sealer;
        private final String name;
        private final PeerListener peers;
        private final Traffic traffic = new Traffic();
        private final Map<DropReason, Long> drops = new EnumMap<>(DropReason.class);
        private int callers;

        SimulatedTransport(int self, SuspendableExecutor process, PacketSealer sealer, String name, PeerListener peers) {
            this.self = self;
            this.process = process;
            this.sealer = sealer;
            this.name = name;
            this.peers = peers;
        }

        @Override public InetSocketAddress listen(InetSocketAddress at) {
            transports.put(self, this);
            return at;
        }

        @Override public long send(InetSocketAddress to, Packet packet) {
            PacketSealer.Datagram datagram = sealer.datagram(packet);
            int bytes = datagram.bytes().length;
            if (bytes > SocketPeerTransport.MAX_DATAGRAM_BYTES) {
                drops.merge(DropReason.OVERSIZED, 1L, Long::sum);
                return 0;
            }
            traffic.sent(Traffic.kind(packet), bytes);
            int target = network.instanceAt(to);
            double delay = target < 0 ? NetworkModel.LOST : network.datagramDelay(self, target);
            Packet arrives = packet instanceof Packet.Membership membership
                ? new Packet.Membership(membership.message(), membership.states().subList(0, datagram.states())) : packet;
            deliver(target, delay, transport -> {
                transport.traffic.received(Traffic.kind(arrives), bytes);
                if (arrives instanceof Packet.Membership membership) {
                    transport.peers.membershipReceived(name, membership);
                } else if (arrives instanceof Packet.Comparison comparison) {
                    transport.peers.comparisonReceived(name, comparison);
                }
            });
            return (long) bytes + SocketPeerTransport.HEADER_BYTES;
        }

        private void deliver(int target, double delay, Consumer<SimulatedTransport> arrive) {
            if (Double.isNaN(delay)) {
                return;
            }
            schedule(now + delay, () -> {
                SimulatedTransport transport = transports.get(target);
                if (transport != null) {
                    transport.process.execute(() -> arrive.accept(transport));
                }
            });
        }

        @Override public void exchange(String with, InetSocketAddress at, Packet.FullExchange ours) {
            int target = network.instanceAt(at);
            double delay = target < 0 ? NetworkModel.LOST : network.connectionDelay(self, target) + network.connectionDelay(
                target, self);
            if (Double.isNaN(delay)) {
                return;
            }
            int bytes = sealer.sealed(ours, CHALLENGE).length;
            deliver(target, delay / 2 * TRIPS_TO_MESSAGE, transport -> transport.answer(this, bytes, ours, delay / 2));
            traffic.sent(Traffic.Kind.EXCHANGE, bytes);
        }

        private void answer(SimulatedTransport caller, int bytes, Packet.FullExchange theirs, double delayBack) {
            if (callers >= MAX_CALLERS) {
                drops.merge(DropReason.CROWDED, 1L, Long::sum);
                return;
            }
            callers++;
            traffic.received(Traffic.Kind.EXCHANGE, bytes);
            Packet.FullExchange ours = peers.exchangeRequested(caller.name, theirs);
            int answerBytes = sealer.sealed(ours, CHALLENGE).length;
            traffic.sent(Traffic.Kind.EXCHANGE, answerBytes);
            schedule(now + delayBack, () -> {
                callers--;
                if (transports.get(caller.self) == caller) {
                    caller.process.execute(() -> {
                        caller.traffic.received(Traffic.Kind.EXCHANGE, answerBytes);
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
            transports.remove(self, this);
        }
    }
}
