package kelphollow.protocol.peer;

import java.io.IOException;
import java.util.List;

/** Sizes of encoded packets, for simulations without sockets. */
public final class PacketSizes {
    /** What {@link Seal} adds with a name of thirteen characters, in bytes. */
    public static final int SEAL_BYTES = 80;

    private PacketSizes() {}

    /** Bytes of a packet as the codec writes it, less header and seal. */
    public static int of(Packet packet) {
        return PeerCodec.write(packet).length;
    }

    /** The packet as the other end reads it. */
    public static Packet roundTrip(Packet packet) {
        try {
            return PeerCodec.read(PeerCodec.write(packet));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The same message without states. */
    public static Packet withoutStates(Packet packet) {
        return packet instanceof Packet.Membership membership ? new Packet.Membership(membership.message(), List.of())
            : packet;
    }
}
