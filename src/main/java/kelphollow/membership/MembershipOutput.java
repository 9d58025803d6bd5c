package kelphollow.membership;

/** An action or event that a {@link Membership} returns; its owner carries them out in order. */
public sealed interface MembershipOutput {
    /** Sends one datagram; it may be lost. */
    record Send(String to, Message message) implements MembershipOutput {}

    /** Starts a full state exchange: {@link Membership#snapshot} goes out, {@link Membership#merge} takes the answer. */
    record FullExchange(String peer) implements MembershipOutput {}

    /** This process continues under a higher epoch, which the owner must store in place of the one it started with. */
    record EpochRaised(long epoch) implements MembershipOutput {}

    /** A change of a member's state, for operators and other observers of the fleet. */
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
        /** This instance: another process runs under its name with a higher epoch, so this one stops probing. */
        DISPLACED,
        /** This instance: another member reported it as suspect or dead, and it refuted that. */
        REFUTED,
        /** This instance: the process was paused, and suspects no member for what it missed meanwhile. */
        PAUSED
    }
}
