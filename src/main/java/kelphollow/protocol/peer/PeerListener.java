package kelphollow.protocol.peer;

/** Receives authenticated packets. Called on the transport's event loop. */
public interface PeerListener {
    /** A membership message with piggybacked states was received. */
    void membershipReceived(String from, Packet.Membership packet);

    /** A message of a view comparison was received. */
    void comparisonReceived(String from, Packet.Comparison packet);

    /** An exchange that {@code from} started: receives its packet and returns this instance's. */
    Packet.FullExchange exchangeRequested(String from, Packet.FullExchange theirs);

    /** An exchange that this instance started has succeeded: receives the response of {@code from}. */
    void exchangeAnswered(String from, Packet.FullExchange theirs);
}
