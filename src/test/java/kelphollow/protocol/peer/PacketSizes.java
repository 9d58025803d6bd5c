package kelphollow.protocol.peer;

import java.io.IOException;
import java.util.List;

/** Sizes of encoded packets, for simulations without sockets. */
public final class PacketSizes {
    /** Bytes that {@link Seal} adds to a packet whose sender has a name of 13 characters. */
    public static final int SEAL_BYTES = 80;

    private PacketSizes() {}

    /** Returns the size of an encoded packet in bytes, without headers and seal. */
    public static int of(Packet packet) {
        return PeerCodec.write(packet).length;
    }

    /** Encodes and decodes a packet: returns it as the receiver reads it. */
    public static Packet roundTrip(Packet packet) {
        try {
            return PeerCodec.read(PeerCodec.write(packet));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the packet without its piggybacked states. */
    public static Packet withoutStates(Packet packet) {
        return packet instanceof Packet.Membership membership ? new Packet.Membership(membership.message(), List.of())
            : packet;
    }
}
