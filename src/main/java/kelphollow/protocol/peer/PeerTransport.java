package kelphollow.protocol.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Carries packets to other instances and from them. {@link SocketPeerTransport} has sockets; a simulation carries the same packets
 * on its own clock. All calls but {@link #listen} come on one loop.
 */
public interface PeerTransport {
    /** Opens the receiving side and blocks until it is open; not from the loop. Returns the bound address. */
    InetSocketAddress listen(InetSocketAddress at) throws IOException;

    /**
     * Sends a {@link Packet.Membership}, less the states that do not fit, or a {@link Packet.Comparison} as a datagram;
     * it may be lost. Returns its bytes with the headers of IP and UDP, or 0 if it was not sent.
     */
    long send(InetSocketAddress to, Packet packet);

    /** Starts a full exchange. Only its success is notified; one that cannot be reached is tried again by the caller. */
    void exchange(String with, InetSocketAddress at, Packet.FullExchange ours);

    /** Packets dropped so far, by reason. */
    Map<DropReason, Long> drops();

    /** Packets sent and received so far, by kind. */
    Traffic traffic();

    /** Receives and sends nothing more. */
    void close();
}
