package kelphollow.protocol.peer;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.function.LongSupplier;
import kelphollow.digest.InstanceState;

/**
 * Encodes what one life of an instance says and seals it: name, epoch, life and a counter that never repeats. For one
 * thread. A replay of what it made is known by the counter.
 */
public final class PacketSealer {
    private static final int LIFE_BYTES = 8;

    private final String name;
    private final LongSupplier epoch;
    private final Seal seal;
    private final String life;
    private long counter;

    /**
     * @param epoch this life's number, asked for with each packet
     * @param key the fleet's, at least 16 bytes; an {@link IllegalArgumentException} says when it is shorter
     */
    public PacketSealer(String name, LongSupplier epoch, byte[] key) {
        this.name = name;
        this.epoch = epoch;
        this.seal = new Seal(Seal.key(key));
        byte[] id = new byte[LIFE_BYTES];
        new SecureRandom().nextBytes(id);
        this.life = HexFormat.of().formatHex(id);
    }

    String life() {
        return life;
    }

    Seal seal() {
        return seal;
    }

    /**
     * A datagram, of at most {@link PeerLine#LARGEST_DATAGRAM} bytes unless it is no {@link Packet.Small}, and how many
     * parts found room in it.
     */
    public record Datagram(byte[] bytes, int parts) {}

    /** The datagram, less the parts that do not fit. */
    public Datagram datagram(Packet packet) {
        if (!(packet instanceof Packet.Small small)) {
            return new Datagram(sealed(packet, Seal.NO_CHALLENGE), 0);
        }
        List<InstanceState> parts = packet.parts();
        byte[] bytes;
        while ((bytes = sealed(new Packet.Small(small.message(), parts), Seal.NO_CHALLENGE)).length
            > PeerLine.LARGEST_DATAGRAM && !parts.isEmpty()) {
            parts = parts.subList(0, parts.size() - 1);
        }
        return new Datagram(bytes, parts.size());
    }

    /** One side of a full exchange, sealed over the challenge of the other. */
    public byte[] sealed(Packet packet, byte[] challenge) {
        return seal.seal(new Seal.Sealed(name, epoch.getAsLong(), life, ++counter, PeerCodec.write(packet)), challenge);
    }
}
