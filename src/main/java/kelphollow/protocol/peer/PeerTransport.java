package kelphollow.protocol.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Carries packets to and from other instances: {@link SocketPeerTransport} over sockets, a simulation on its own clock.
 * All methods but {@link #listen} are called on one event loop.
 */
public interface PeerTransport {
    /** Starts to receive; blocks until done, so it must not be called on the event loop. Returns the bound address. */
    InetSocketAddress listen(InetSocketAddress at) throws IOException;

    /**
     * Sends a {@link Packet.Membership}, without the states that do not fit, or a {@link Packet.Comparison} as a datagram,
     * which may be lost. Returns its size in bytes with the headers of IP and UDP, or 0 if it was not sent.
     */
    long send(InetSocketAddress to, Packet packet);

    /** Starts a full exchange. Only success is reported, to {@link PeerListener}; the caller retries after a failure. */
    void exchange(String with, InetSocketAddress at, Packet.FullExchange ours);

    /** Returns the number of packets dropped so far, by reason. */
    Map<DropReason, Long> drops();

    /** Returns the counters of packets sent and received so far. */
    Traffic traffic();

    /** Stops receiving and sending. */
    void close();
}
