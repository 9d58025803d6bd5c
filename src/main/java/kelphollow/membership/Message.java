package kelphollow.membership;

import java.util.List;

/** The datagrams of the protocol. Each carries member updates piggybacked on it (SWIM section 4.1). */
public sealed interface Message {
    /** The piggybacked updates. */
    List<MemberUpdate> updates();

    /** Calls the visitor's method for this kind of message. */
    <R> R accept(Visitor<R> visitor);

    /** One method for each kind of message. */
    interface Visitor<R> {
        /** For a direct probe. */
        R ping(Ping ping);

        /** For a request for an indirect probe. */
        R pingRequest(PingRequest request);

        /** For the answer to a direct or indirect probe. */
        R ack(Ack ack);

        /** For the report that an indirect probe is unanswered so far. */
        R nack(Nack nack);

        /** For member updates without a probe. */
        R gossip(Gossip gossip);
    }

    /**
     * Direct probe, answered by an {@link Ack} with the same sequence number. An instance that is not {@code target}, at an
     * address that was reused, does not answer.
     */
    record Ping(long sequence, String target, List<MemberUpdate> updates) implements Message {
        @Override public <R> R accept(Visitor<R> visitor) {
            return visitor.ping(this);
        }
    }

    /** Indirect probe: the receiver probes {@code target} and relays its {@link Ack}, or sends a {@link Nack} in time. */
    record PingRequest(long sequence, String target, List<MemberUpdate> updates) implements Message {
        @Override public <R> R accept(Visitor<R> visitor) {
            return visitor.pingRequest(this);
        }
    }

    /** Answers a {@link Ping}, or relays the answer to an indirect probe. */
    record Ack(long sequence, List<MemberUpdate> updates) implements Message {
        @Override public <R> R accept(Visitor<R> visitor) {
            return visitor.ack(this);
        }
    }

    /** Lifeguard: the receiver of a {@link PingRequest} is reachable, but the target has not answered it so far. */
    record Nack(long sequence, List<MemberUpdate> updates) implements Message {
        @Override public <R> R accept(Visitor<R> visitor) {
            return visitor.nack(this);
        }
    }

    /** Member updates without a probe. */
    record Gossip(List<MemberUpdate> updates) implements Message {
        @Override public <R> R accept(Visitor<R> visitor) {
            return visitor.gossip(this);
        }
    }
}
