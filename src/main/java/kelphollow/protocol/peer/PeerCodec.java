package kelphollow.protocol.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import kelphollow.digest.InstanceState;
import kelphollow.membership.MemberUpdate;
import kelphollow.membership.Message;

/**
 * Encodes packets as CBOR arrays with positional fields: the kind, the fields of the kind, updates, states. A malformed
 * packet is rejected as a whole. Thread-safe.
 */
final class PeerCodec {
    private static final String FULL_EXCHANGE = "full";
    private static final String PING = "ping";
    private static final String PING_REQUEST = "ask";
    private static final String ACK = "ack";
    private static final String NACK = "nack";
    private static final String GOSSIP = "news";

    private PeerCodec() {}

    static byte[] write(Packet packet) {
        if (packet instanceof Packet.Comparison comparison) {
            return CompareCodec.write(comparison.message());
        }
        return Cbor.write(out -> {
            out.writeStartArray();
            if (packet instanceof Packet.FullExchange full) {
                out.writeString(FULL_EXCHANGE);
                RecordCodec.writeUpdates(full.updates(), out);
                RecordCodec.writeStates(full.states(), out);
            } else if (packet instanceof Packet.Membership membership) {
                membership.message().accept(HEAD).write(out);
                RecordCodec.writeUpdates(membership.message().updates(), out);
                RecordCodec.writeStates(membership.states(), out);
            }
            out.writeEndArray();
        });
    }

    /** Writes the fields that precede a message's updates. */
    private static final Message.Visitor<Cbor.Writer> HEAD = new Message.Visitor<>() {
        @Override public Cbor.Writer ping(Message.Ping ping) {
            return out -> {
                writeHead(PING, ping.sequence(), out);
                out.writeString(ping.target());
            };
        }

        @Override public Cbor.Writer pingRequest(Message.PingRequest request) {
            return out -> {
                writeHead(PING_REQUEST, request.sequence(), out);
                out.writeString(request.target());
            };
        }

        @Override public Cbor.Writer ack(Message.Ack ack) {
            return out -> writeHead(ACK, ack.sequence(), out);
        }

        @Override public Cbor.Writer nack(Message.Nack nack) {
            return out -> writeHead(NACK, nack.sequence(), out);
        }

        @Override public Cbor.Writer gossip(Message.Gossip gossip) {
            return out -> out.writeString(GOSSIP);
        }
    };

    private static void writeHead(String kind, long sequence, JsonGenerator out) throws IOException {
        out.writeString(kind);
        out.writeNumber(sequence);
    }

    /** Reads a packet; throws {@link IllegalArgumentException} or {@link IOException} if it is malformed. */
    static Packet read(byte[] bytes) throws IOException {
        List<?> fields = Cbor.list(Cbor.read(bytes, bytes.length));
        String kind = Cbor.text(fields, 0);
        if (CompareCodec.KINDS.contains(kind)) {
            return new Packet.Comparison(CompareCodec.read(kind, fields));
        }
        int last = fields.size() - 1;
        List<InstanceState> states = RecordCodec.readStates(Cbor.at(fields, last));
        List<MemberUpdate> updates = RecordCodec.readUpdates(Cbor.at(fields, last - 1));
        return switch (kind) {
            case FULL_EXCHANGE -> new Packet.FullExchange(updates, states);
            case PING -> new Packet.Membership(new Message.Ping(Cbor.integer(fields, 1), Cbor.text(fields, 2), updates),
                states);
            case PING_REQUEST -> new Packet.Membership(
                new Message.PingRequest(Cbor.integer(fields, 1), Cbor.text(fields, 2), updates), states);
            case ACK -> new Packet.Membership(new Message.Ack(Cbor.integer(fields, 1), updates), states);
            case NACK -> new Packet.Membership(new Message.Nack(Cbor.integer(fields, 1), updates), states);
            case GOSSIP -> new Packet.Membership(new Message.Gossip(updates), states);
            default -> throw new IllegalArgumentException("unknown packet kind");
        };
    }
}
