package kelphollow.protocol.peer;

import java.util.Locale;
import kelphollow.membership.Message;

/**
 * Counts packets and their bytes by kind and direction, so that the cost of one part of the protocol can be told from
 * the rest. Bytes are those of the payload with its seal, without the headers of IP, UDP and TCP. For one thread.
 */
public final class Traffic {
    /** What a packet is for; an exchange counts once for each side of it. */
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

        /** The word for it in reports. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Packets and bytes of one direction by kind. */
    private static final class Counters {
        private final long[] packets = new long[Kind.values().length];
        private final long[] bytes = new long[Kind.values().length];

        void count(Kind kind, long size) {
            packets[kind.ordinal()]++;
            bytes[kind.ordinal()] += size;
        }
    }

    private static final class KindOfMessage implements Message.Visitor<Kind> {
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

    private static final KindOfMessage KIND_OF_MESSAGE = new KindOfMessage();

    private final Counters sent = new Counters();
    private final Counters received = new Counters();

    /** The kind of a packet. */
    public static Kind kind(Packet packet) {
        if (packet instanceof Packet.Membership membership) {
            return membership.message().accept(KIND_OF_MESSAGE);
        }
        return packet instanceof Packet.Comparison ? Kind.COMPARE : Kind.EXCHANGE;
    }

    /** Counts a packet that is sent. */
    public void sent(Kind kind, long bytes) {
        sent.count(kind, bytes);
    }

    /** Counts a packet that was received and authenticated. */
    public void received(Kind kind, long bytes) {
        received.count(kind, bytes);
    }

    /** Packets sent so far. */
    public long packetsOut(Kind kind) {
        return sent.packets[kind.ordinal()];
    }

    /** Bytes sent so far. */
    public long bytesOut(Kind kind) {
        return sent.bytes[kind.ordinal()];
    }

    /** Packets received so far. */
    public long packetsIn(Kind kind) {
        return received.packets[kind.ordinal()];
    }

    /** Bytes received so far. */
    public long bytesIn(Kind kind) {
        return received.bytes[kind.ordinal()];
    }
}
