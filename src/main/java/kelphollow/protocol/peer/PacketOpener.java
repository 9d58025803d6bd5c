package kelphollow.protocol.peer;

import java.io.IOException;

/** Authenticates and decodes received packets; drops and counts those that it rejects. Not thread-safe. */
final class PacketOpener {
    /** A packet and its authenticated sender's name. */
    record Opened(String from, Packet packet) {}

    private final String self;
    private final PacketSealer sealer;
    private final ReplayGuard guard;
    private final DropCounter drops;
    private final Traffic traffic;

    PacketOpener(String self, PacketSealer sealer, ReplayGuard guard, DropCounter drops, Traffic traffic) {
        this.self = self;
        this.sealer = sealer;
        this.guard = guard;
        this.drops = drops;
        this.traffic = traffic;
    }

    /**
     * Opens a received packet; returns null if it was dropped.
     *
     * @param challenge what the sender had to include in the authentication; empty for a datagram
     */
    Opened open(byte[] bytes, byte[] challenge) {
        Seal.Envelope envelope = sealer.seal().open(bytes, challenge);
        if (envelope == null || isOwn(envelope)) {
            drops.count(DropReason.FORGED);
            return null;
        }
        if (!guard.accept(envelope, challenge.length > 0)) {
            drops.count(DropReason.REPLAYED);
            return null;
        }
        try {
            Packet packet = PeerCodec.read(envelope.payload());
            traffic.received(Traffic.kind(packet), bytes.length);
            return new Opened(envelope.name(), packet);
        } catch (IOException | IllegalArgumentException | ClassCastException e) {
            drops.count(DropReason.UNREADABLE);
            return null;
        }
    }

    private boolean isOwn(Seal.Envelope envelope) {
        return envelope.name().equals(self) && envelope.incarnationId().equals(sealer.incarnationId());
    }
}
