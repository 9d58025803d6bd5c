package kelphollow.protocol.peer;

/** Takes authenticated packets. Calls come on the transport's loop. */
public interface PeerListener {
    /** A membership message with piggybacked states. */
    void membershipReceived(String from, Packet.Membership packet);

    /** A step of a comparison of views. */
    void comparisonReceived(String from, Packet.Comparison packet);

    /** The other side of an exchange that {@code from} started; returns this side's. */
    Packet.FullExchange exchangeRequested(String from, Packet.FullExchange theirs);

    /** The other side of an exchange that was started here. */
    void exchangeAnswered(String from, Packet.FullExchange theirs);
}
