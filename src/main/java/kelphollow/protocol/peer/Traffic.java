package kelphollow.protocol.peer;

import kelphollow.membership.Message;

/**
 * Counts packets and their bytes by kind and direction, so that what a part of the protocol costs can be told from the
 * rest. Bytes are those of the payload with its seal, without the headers of IP, UDP and TCP. For one thread.
 */
public final class Traffic {
    /** What a packet is for; an exchange counts once for each side of it. */
    public enum Kind {
        PING, PING_REQUEST, ACK, NACK, GOSSIP, COMPARE, EXCHANGE
    }

    private final long[] packetsOut = new long[Kind.values().length], bytesOut = new long[Kind.values().length];
    private final long[] packetsIn = new long[Kind.values().length], bytesIn = new long[Kind.values().length];

    /** The kind of a packet. */
    public static Kind kind(Packet packet) {
        if (!(packet instanceof Packet.Small small)) {
            return packet instanceof Packet.Compare ? Kind.COMPARE : Kind.EXCHANGE;
        }
        Message message = small.message();
        if (message instanceof Message.Ping) {
            return Kind.PING;
        }
        if (message instanceof Message.PingRequest) {
            return Kind.PING_REQUEST;
        }
        if (message instanceof Message.Ack) {
            return Kind.ACK;
        }
        return message instanceof Message.Nack ? Kind.NACK : Kind.GOSSIP;
    }

    /** Counts a packet that is sent. */
    public void sent(Kind kind, long bytes) {
        packetsOut[kind.ordinal()]++;
        bytesOut[kind.ordinal()] += bytes;
    }

    /** Counts a packet that came and proved itself. */
    public void received(Kind kind, long bytes) {
        packetsIn[kind.ordinal()]++;
        bytesIn[kind.ordinal()] += bytes;
    }

    /** Packets sent so far. */
    public long packetsOut(Kind kind) {
        return packetsOut[kind.ordinal()];
    }

    /** Bytes sent so far. */
    public long bytesOut(Kind kind) {
        return bytesOut[kind.ordinal()];
    }

    /** Packets received so far. */
    public long packetsIn(Kind kind) {
        return packetsIn[kind.ordinal()];
    }

    /** Bytes received so far. */
    public long bytesIn(Kind kind) {
        return bytesIn[kind.ordinal()];
    }
}
