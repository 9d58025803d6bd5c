package kelphollow.protocol.peer;

import java.util.List;
import kelphollow.digest.InstanceState;
import kelphollow.dissemination.AntiEntropy;
import kelphollow.membership.MemberUpdate;
import kelphollow.membership.Message;

/** A packet that instances send to each other. */
public sealed interface Packet {
    /** A datagram with a membership message and piggybacked instance states. */
    record Membership(Message message, List<InstanceState> states) implements Packet {}

    /** One side of a full exchange: all member updates and instance states that it sends. */
    record FullExchange(List<MemberUpdate> updates, List<InstanceState> states) implements Packet {}

    /** A datagram with one message of a view comparison. */
    record Comparison(AntiEntropy message) implements Packet {}
}
