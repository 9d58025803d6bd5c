package kelphollow.scale;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Delays, loss and partitions between instances by region and zone, and the addresses that identify instances. Thread-safe:
 * several event loops use it.
 */
final class NetworkModel {
    /** Delay of a message that is lost. */
    static final double LOST = Double.NaN;
    /** Instances have loopback addresses 127.77.x.y, so that hundreds of them can use the same port. */
    private static final int SECOND_BYTE = 77;
    private static final int HOSTS_PER_SUBNET = 250;

    /** One direction between two regions. */
    private record Path(int from, int to) {}

    private final ScaleScenario scenario;
    private final Random random;
    private final int port;
    private final Set<Path> partitions = new HashSet<>();
    private double loss;

    NetworkModel(ScaleScenario scenario, long seed, int port) {
        this.scenario = scenario;
        this.random = new Random(seed);
        this.port = port;
        this.loss = scenario.network().loss();
    }

    /** The loopback address of an instance. */
    InetSocketAddress addressOf(int instance) {
        try {
            byte thirdByte = (byte) (instance / HOSTS_PER_SUBNET);
            byte[] bytes = {127, SECOND_BYTE, thirdByte, (byte) (1 + instance % HOSTS_PER_SUBNET)};
            return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);   // four bytes are an IPv4 address
        }
    }

    /** The instance at an address, or -1. */
    int instanceAt(InetSocketAddress address) {
        byte[] bytes = address.getAddress().getAddress();
        if (address.getPort() != port || bytes.length != 4 || bytes[1] != SECOND_BYTE) {
            return -1;
        }
        int instance = (bytes[2] & 0xff) * HOSTS_PER_SUBNET + (bytes[3] & 0xff) - 1;
        return instance >= 0 && instance < scenario.instances() ? instance : -1;
    }

    /** Delay of a datagram in milliseconds, drawn anew each time, or {@link #LOST}. */
    synchronized double datagramDelay(int from, int to) {
        return random.nextDouble() < loss ? LOST : connectionDelay(from, to);
    }

    /** Delay of a segment of a connection in milliseconds: TCP recovers from loss, but not from a partition. */
    synchronized double connectionDelay(int from, int to) {
        return isPartitioned(from, to) ? LOST : baseDelay(from, to) * (1 + scenario.network().jitter() * random
            .nextDouble());
    }

    private double baseDelay(int from, int to) {
        ScaleScenario.Network network = scenario.network();
        if (scenario.zoneOf(from) == scenario.zoneOf(to)) {
            return network.zone();
        }
        return scenario.regionOf(from) == scenario.regionOf(to) ? network.region() : network.far();
    }

    synchronized boolean isPartitioned(int from, int to) {
        return partitions.contains(new Path(scenario.regionOf(from), scenario.regionOf(to)));
    }

    synchronized boolean hasPartitions() {
        return !partitions.isEmpty();
    }

    /** Partitions region {@code from} from region {@code to}, or from all others if {@code to} is negative. */
    synchronized void partition(int from, int to, boolean oneWay) {
        for (int other = 0; other < scenario.regions(); other++) {
            if (other != from && (to < 0 || other == to)) {
                partitions.add(new Path(from, other));
                if (!oneWay) {
                    partitions.add(new Path(other, from));
                }
            }
        }
    }

    /** Ends all partitions. */
    synchronized void heal() {
        partitions.clear();
    }

    /** Sets the probability from 0 to 1 that a datagram is lost. */
    synchronized void setLoss(double probability) {
        loss = probability;
    }
}
