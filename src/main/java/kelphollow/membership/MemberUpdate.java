package kelphollow.membership;

/**
 * A report about one member (SWIM section 4.1: an update). Updates of one member are totally ordered by {@link #overrides},
 * so that all instances reach the same view even if updates are reordered, duplicated, or lost and sent again.
 *
 * @param name the member, 1 to {@link #MAX_NAME_LENGTH} characters
 * @param address that the member announces, at most {@link #MAX_ADDRESS_LENGTH} characters; may be empty
 * @param epoch number of the member's process; grows with each start
 * @param incarnation refutes suspicions within an epoch; raised only by the member itself
 * @param accuser who suspects the member or declared it dead; empty for the member's own statements
 */
public record MemberUpdate(String name, String address, long epoch, long incarnation, State state, String accuser) {
    /** Maximum length of a member name, in characters. */
    public static final int MAX_NAME_LENGTH = 64;
    /** Maximum length of an address, in characters. */
    public static final int MAX_ADDRESS_LENGTH = 64;

    /** State of a member, in the order of precedence at one incarnation. */
    public enum State {
        /** Answers probes. */
        ALIVE,
        /** Did not answer a probe, and has not refuted the suspicion yet. */
        SUSPECT,
        /** Declared dead after the suspicion timeout. */
        DEAD,
        /** Left gracefully. */
        LEFT;

        /** Whether a member in this state counts as part of the fleet. */
        public boolean isPresent() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    /** Throws {@link IllegalArgumentException} if a field is out of bounds. */
    public MemberUpdate {
        if (name == null || name.isEmpty() || name.length() > MAX_NAME_LENGTH || address == null
            || address.length() > MAX_ADDRESS_LENGTH || accuser == null || accuser.length() > MAX_NAME_LENGTH
            || state == null || epoch < 0 || incarnation < 0) {
            throw new IllegalArgumentException("member update needs a state, a name of 1 to " + MAX_NAME_LENGTH
                + " characters, an address and accuser of at most " + MAX_ADDRESS_LENGTH + " and " + MAX_NAME_LENGTH
                + ", and epoch and incarnation of at least 0; found epoch " + epoch + ", incarnation " + incarnation);
        }
    }

    /** Whether the member counts as part of the fleet by this update. */
    public boolean isPresent() {
        return state.isPresent();
    }

    /**
     * SWIM section 4.2: a higher incarnation overrides; at the same one SUSPECT overrides ALIVE and DEAD overrides both.
     * In addition, a higher epoch overrides a lower one, and LEFT is final within its epoch.
     */
    public boolean overrides(MemberUpdate other) {
        if (epoch != other.epoch) {
            return epoch > other.epoch;
        }
        if (other.state == State.LEFT || state == State.LEFT) {
            return state == State.LEFT && other.state != State.LEFT;
        }
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.ordinal() > other.state.ordinal();
    }

    /** The same member, epoch and incarnation in another state. */
    MemberUpdate withState(State next, String reporter) {
        return new MemberUpdate(name, address, epoch, incarnation, next, reporter);
    }
}
