package kelphollow.routing;

import kelphollow.decision.Control;

/**
 * How long news of the node list may take, as one sum. Discovery's terms: whatever failed before, a change counts as
 * told {@link #TOLD_AFTER} ms after discovery had it and could be reached, and a scheduler that has not heard it by then,
 * plus the grace for drains, breaks its promise. All times are milliseconds.
 */
public final class ListBudget {
    public static final double TOLD_AFTER = 6_000;
    /** The longest that a call waits for news. Each is a little shorter by chance, so that the fleet's calls part again. */
    public static final double WAIT = 1_400;
    /** What a call may take beyond its wait; then its connection is taken for silent. */
    public static final double PATIENCE = 1_000;
    /** What a call that does not wait may take: after a new configuration news counts as told after 4 s, one lost call included. */
    public static final double AT_ONCE_PATIENCE = 1_800;
    /** A call that brings news at once may wait its turn at discovery for so long; then it is turned away. */
    public static final double TURN = 2_000;

    // An agent serves this scheduler alone, so its pauses need no jitter: they double from the first to the last.
    static final double FIRST_PAUSE = 100;
    static final double LONGEST_PAUSE = 1_000;

    private ListBudget() { }

    /**
     * The longest way of news, while the service answers: a call was made just before the watch fell silent, or the
     * service went down, or came back; then the longest pause; and the next call brings it.
     */
    public static double longest(boolean pushed) {
        return WAIT + PATIENCE + (pushed ? LONGEST_PAUSE : Control.LIST_PAUSE) + TURN;
    }
}
