package kelphollow.protocol.peer;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.function.LongSupplier;
import kelphollow.digest.InstanceState;

/**
 * Encodes and seals the packets of one process. Each is sent with the process's name, epoch and incarnation id, and a
 * counter that never repeats, by which receivers detect replays. Not thread-safe.
 */
public final class PacketSealer {
    private static final int INCARNATION_ID_BYTES = 8;

    private final String name;
    private final LongSupplier epoch;
    private final Seal seal;
    private final String incarnationId;
    private long counter;

    /**
     * Creates a sealer with a random incarnation id.
     *
     * @param epoch supplies the epoch of this process, read for each packet
     * @param key the fleet's key, at least 16 bytes; an {@link IllegalArgumentException} is thrown if it is shorter
     */
    public PacketSealer(String name, LongSupplier epoch, byte[] key) {
        this.name = name;
        this.epoch = epoch;
        this.seal = new Seal(Seal.key(key));
        byte[] id = new byte[INCARNATION_ID_BYTES];
        new SecureRandom().nextBytes(id);
        this.incarnationId = HexFormat.of().formatHex(id);
    }

    /** Returns the id that distinguishes this process from others of the same name and epoch. */
    String incarnationId() {
        return incarnationId;
    }

    Seal seal() {
        return seal;
    }

    /**
     * A sealed datagram and the number of states in it. A {@link Packet.Membership} without any states, and other packets,
     * may exceed {@link SocketPeerTransport#MAX_DATAGRAM_BYTES}.
     */
    public record Datagram(byte[] bytes, int states) {}

    /** Seals a packet as a datagram; omits states from the end of the list until a {@link Packet.Membership} fits. */
    public Datagram datagram(Packet packet) {
        if (!(packet instanceof Packet.Membership membership)) {
            return new Datagram(sealed(packet, Seal.NO_CHALLENGE), 0);
        }
        List<InstanceState> states = membership.states();
        byte[] bytes = sealedDatagram(membership, states);
        while (bytes.length > SocketPeerTransport.MAX_DATAGRAM_BYTES && !states.isEmpty()) {
            states = states.subList(0, states.size() - 1);
            bytes = sealedDatagram(membership, states);
        }
        return new Datagram(bytes, states.size());
    }

    private byte[] sealedDatagram(Packet.Membership packet, List<InstanceState> states) {
        return sealed(new Packet.Membership(packet.message(), states), Seal.NO_CHALLENGE);
    }

    /** Encodes a packet and authenticates it together with the challenge of the other side. */
    public byte[] sealed(Packet packet, byte[] challenge) {
        Seal.Envelope envelope = new Seal.Envelope(name, epoch.getAsLong(), incarnationId, ++counter, PeerCodec.write(
            packet));
        return seal.seal(envelope, challenge);
    }
}
