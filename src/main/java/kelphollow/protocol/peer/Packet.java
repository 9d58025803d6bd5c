package kelphollow.protocol.peer;

import java.util.List;
import kelphollow.digest.InstanceState;
import kelphollow.dissemination.AntiEntropy;
import kelphollow.membership.MemberUpdate;
import kelphollow.membership.Message;

/** What instances send each other. */
public sealed interface Packet {
    /** One datagram: a membership message with piggybacked states of the digest. */
    record Membership(Message message, List<InstanceState> states) implements Packet {}

    /** One side of a full exchange. */
    record FullExchange(List<MemberUpdate> updates, List<InstanceState> states) implements Packet {}

    /** One datagram: a step of a comparison of views. */
    record Comparison(AntiEntropy message) implements Packet {}
}
