package kelphollow.protocol.peer;

import java.util.Locale;
import kelphollow.membership.Message;

/**
 * Counts packets and their bytes by kind and direction, which shows the cost of each part of the protocol. Bytes include
 * the seal but not the headers of IP, UDP and TCP. Not thread-safe.
 */
public final class Traffic {
    /** Kinds of packets; each side of a full exchange counts as one packet. */
    public enum Kind {
        /** See {@link Message.Ping}. */
        PING,
        /** See {@link Message.PingRequest}. */
        PING_REQUEST,
        /** See {@link Message.Ack}. */
        ACK,
        /** See {@link Message.Nack}. */
        NACK,
        /** See {@link Message.Gossip}. */
        GOSSIP,
        /** See {@link Packet.Comparison}. */
        COMPARE,
        /** See {@link Packet.FullExchange}. */
        EXCHANGE;

        /** Returns the name of the kind in reports. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Packets and bytes of one direction, by kind. */
    private static final class Counters {
        private final long[] packets = new long[Kind.values().length];
        private final long[] bytes = new long[Kind.values().length];

        void count(Kind kind, long size) {
            packets[kind.ordinal()]++;
            bytes[kind.ordinal()] += size;
        }
    }

    private static final class KindVisitor implements Message.Visitor<Kind> {
        @Override public Kind ping(Message.Ping ping) {
            return Kind.PING;
        }

        @Override public Kind pingRequest(Message.PingRequest request) {
            return Kind.PING_REQUEST;
        }

        @Override public Kind ack(Message.Ack ack) {
            return Kind.ACK;
        }

        @Override public Kind nack(Message.Nack nack) {
            return Kind.NACK;
        }

        @Override public Kind gossip(Message.Gossip gossip) {
            return Kind.GOSSIP;
        }
    }

    private static final KindVisitor KIND_VISITOR = new KindVisitor();

    private final Counters sent = new Counters();
    private final Counters received = new Counters();

    /** Returns the kind of a packet. */
    public static Kind kind(Packet packet) {
        if (packet instanceof Packet.Membership membership) {
            return membership.message().accept(KIND_VISITOR);
        }
        return packet instanceof Packet.Comparison ? Kind.COMPARE : Kind.EXCHANGE;
    }

    /** Counts a sent packet. */
    public void sent(Kind kind, long bytes) {
        sent.count(kind, bytes);
    }

    /** Counts a received, authenticated and decoded packet. */
    public void received(Kind kind, long bytes) {
        received.count(kind, bytes);
    }

    /** Returns the number of packets sent. */
    public long packetsOut(Kind kind) {
        return sent.packets[kind.ordinal()];
    }

    /** Returns the number of bytes sent. */
    public long bytesOut(Kind kind) {
        return sent.bytes[kind.ordinal()];
    }

    /** Returns the number of packets received. */
    public long packetsIn(Kind kind) {
        return received.packets[kind.ordinal()];
    }

    /** Returns the number of bytes received. */
    public long bytesIn(Kind kind) {
        return received.bytes[kind.ordinal()];
    }
}
