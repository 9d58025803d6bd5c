package kelphollow.protocol.peer;

import java.io.IOException;

/** Authenticates and decodes what was received, or drops it and counts why. For one thread. */
final class PacketOpener {
    /** A packet and the name of its authenticated sender. */
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

    /** Null for what was dropped. {@code challenge}: what the sender had to cover; empty for a datagram. */
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
