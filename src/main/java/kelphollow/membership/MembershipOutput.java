package kelphollow.membership;

/** What {@link Membership} wants done, in order. The owner carries the outputs out; none of them calls back. */
public sealed interface MembershipOutput {
    /** Sends one datagram; it may be lost. */
    record Send(String to, Message message) implements MembershipOutput {}

    /** Starts a full state exchange: {@link Membership#snapshot} goes out, {@link Membership#merge} takes the answer. */
    record FullExchange(String peer) implements MembershipOutput {}

    /** This process goes on under a higher epoch, which must be stored where the first one came from. */
    record EpochRaised(long epoch) implements MembershipOutput {}

    /** A state change, for operators and for whoever follows the fleet. */
    record Event(Kind kind, String name, long epoch, String reason) implements MembershipOutput {}

    /** What happened to a member, as seen by this instance. */
    enum Kind {
        /** Seen alive for the first time, or under a new epoch. */
        JOINED,
        /** Did not answer a probe here, or is suspected by another member. */
        SUSPECTED,
        /** A suspicion or death was refuted. */
        CLEARED,
        /** Declared dead after the suspicion timeout. */
        FAILED,
        /** Left the fleet by a graceful shutdown. */
        LEFT,
        /** This instance: another process runs under its name with a higher epoch, so this one stands down. */
        DISPLACED,
        /** This instance: others held it for suspect or dead, and it refuted that. */
        REFUTED,
        /** This instance: the process was paused, and holds nothing that happened meanwhile against the others. */
        PAUSED
    }
}
