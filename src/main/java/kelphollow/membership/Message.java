package kelphollow.membership;

import java.util.List;

/** What instances say to each other in one datagram. Each carries news on its back (SWIM section 4.1). */
public sealed interface Message {
    List<MemberUpdate> news();

    /** Are you there? Answered by an {@link Ack} of the same number. {@code to} guards against a reused address. */
    record Ping(long number, String to, List<MemberUpdate> news) implements Message {}

    /** Ask {@code target} for me: answered by an {@link Ack}, or by a {@link Nack} if it says nothing in time. */
    record PingRequest(long number, String target, List<MemberUpdate> news) implements Message {}

    /** Yes, I am, or the one you had me ask is. */
    record Ack(long number, List<MemberUpdate> news) implements Message {}

    /** Lifeguard: I am here, but the one you had me ask has said nothing so far. */
    record Nack(long number, List<MemberUpdate> news) implements Message {}

    /** Only news. */
    record Gossip(List<MemberUpdate> news) implements Message {}
}
