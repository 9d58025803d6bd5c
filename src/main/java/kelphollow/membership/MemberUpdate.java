package kelphollow.membership;

/**
 * What is said of one instance. News of one instance are totally ordered by {@link #overrides}, so that any order of
 * arrival, loss made good and duplicates lead to the same view.
 *
 * @param name the instance, 1 to {@link #LONGEST_NAME} characters
 * @param address where it says it is reached, at most {@link #LONGEST_ADDRESS} characters; may be empty
 * @param epoch its life: grows with each start
 * @param incarnation its word against suspicion within a life, raised by the instance alone
 * @param by who suspects it, or who found it dead; empty for the instance's own word
 */
public record MemberUpdate(String name, String address, long epoch, long incarnation, State state, String by) {
    /** Longest name and address, in characters. */
    public static final int LONGEST_NAME = 64;
    public static final int LONGEST_ADDRESS = 64;

    /** In the order of their weight at one incarnation. */
    public enum State { ALIVE, SUSPECT, DEAD, LEFT }

    /** Throws {@link IllegalArgumentException} for what no instance could mean. */
    public MemberUpdate {
        if (name == null || name.isEmpty() || name.length() > LONGEST_NAME || address == null
            || address.length() > LONGEST_ADDRESS || by == null || by.length() > LONGEST_NAME || state == null
            || epoch < 0 || incarnation < 0) {
            throw new IllegalArgumentException("no news of an instance");
        }
    }

    /**
     * SWIM section 4.2: a higher incarnation overrides; at the same one suspicion overrides life and death overrides
     * both. Around that: a later life overrides an earlier one, and who left has left for the rest of its life.
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

    MemberUpdate as(State next, String who) {
        return new MemberUpdate(name, address, epoch, incarnation, next, who);
    }
}
