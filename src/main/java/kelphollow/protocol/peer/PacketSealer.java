package kelphollow.protocol.peer;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.function.LongSupplier;
import kelphollow.digest.InstanceState;

/**
 * Encodes the packets of one process and seals them: name, epoch, incarnation id and a counter that never repeats, by
 * which a replay is detected. For one thread.
 */
public final class PacketSealer {
    private static final int INCARNATION_ID_BYTES = 8;

    private final String name;
    private final LongSupplier epoch;
    private final Seal seal;
    private final String incarnationId;
    private long counter;

    /**
     * @param epoch number of this process, read for each packet
     * @param key the fleet's, at least 16 bytes; an {@link IllegalArgumentException} is thrown if it is shorter
     */
    public PacketSealer(String name, LongSupplier epoch, byte[] key) {
        this.name = name;
        this.epoch = epoch;
        this.seal = new Seal(Seal.key(key));
        byte[] id = new byte[INCARNATION_ID_BYTES];
        new SecureRandom().nextBytes(id);
        this.incarnationId = HexFormat.of().formatHex(id);
    }

    /** Tells this process from others of the same name and epoch. */
    String incarnationId() {
        return incarnationId;
    }

    Seal seal() {
        return seal;
    }

    /**
     * A datagram, of at most {@link SocketPeerTransport#MAX_DATAGRAM_BYTES} unless it is no {@link Packet.Membership}, and how
     * many states fit into it.
     */
    public record Datagram(byte[] bytes, int states) {}

    /** The datagram, less the states that do not fit. */
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

    /** One side of a full exchange, sealed over the challenge of the other. */
    public byte[] sealed(Packet packet, byte[] challenge) {
        Seal.Envelope envelope = new Seal.Envelope(name, epoch.getAsLong(), incarnationId, ++counter, PeerCodec.write(
            packet));
        return seal.seal(envelope, challenge);
    }
}
