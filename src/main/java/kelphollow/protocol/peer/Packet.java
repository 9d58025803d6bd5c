package kelphollow.protocol.peer;

import java.util.List;
import kelphollow.digest.InstanceState;
import kelphollow.dissemination.AntiEntropy;
import kelphollow.membership.Message;
import kelphollow.membership.MemberUpdate;

/** What goes over the line. */
public sealed interface Packet {
    List<InstanceState> parts();

    /** One datagram: a message of membership with parts of the digest on its back. */
    record Small(Message message, List<InstanceState> parts) implements Packet {}

    /** One side of a full exchange. */
    record Full(List<MemberUpdate> news, List<InstanceState> parts) implements Packet {}

    /** One datagram: a step of a comparison of views. */
    record Compare(AntiEntropy message) implements Packet {
        @Override public List<InstanceState> parts() {
            return List.of();
        }
    }
}
