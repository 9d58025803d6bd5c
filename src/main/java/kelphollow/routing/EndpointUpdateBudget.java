package kelphollow.routing;

import kelphollow.decision.EndpointPollSchedule;

/**
 * How long news of the node list may take, as one sum. Discovery's terms: whatever failed before, a change counts as
 * told {@link #TOLD_AFTER} ms after discovery had it and could be reached, and a scheduler that has not heard it by then,
 * plus the grace for drains, breaks its promise. All times are milliseconds.
 */
public final class EndpointUpdateBudget {
    public static final double TOLD_AFTER = 6_000;
    /** The longest that a call waits for news. Each is a little shorter by chance, so that the fleet's calls part again. */
    public static final double WAIT = 1_400;
    /** What a call of a watch that goes on may take beyond its wait; then its connection is taken for silent. */
    public static final double PATIENCE = 900;
    /** A call that begins a watch may wait its turn at discovery for so long; then discovery turns it away. */
    public static final double TURN = 2_000;
    /**
     * What a call that begins a watch may take. It outlasts its turn: a call that is given up stays in the queue of the
     * service, and the next one would wait behind it.
     */
    public static final double TURN_PATIENCE = TURN + 300;
    /** What a call to a service of a new configuration may take: its news counts as told after 4 s, one lost call included. */
    public static final double MOVED_PATIENCE = 1_800;
    /** What this program adds by being late itself; 25 ms were measured, 9 in 10 calls, of a process at half a core. */
    public static final double OWN_LATENESS = 150;

    /**
     * The pause after a failed call to an agent, which serves this scheduler alone. While its service is down an agent is
     * silent, and what it gets at the return counts at once: a pause must be shorter than the grace for drains, however long
     * the service was away.
     */
    static final double AGENT_PAUSE = 100;

    private EndpointUpdateBudget() {}

    /**
     * The longest way of news, while the service answers: a call was made just before the watch fell silent, or the
     * service went down, or came back; then the longest pause; and the next call brings it. Calls that a service with a
     * full queue turns away are not in it: {@link EndpointPollSchedule} spreads those.
     */
    public static double longest(boolean pushed) {
        double longestCall = Math.max(WAIT + PATIENCE, TURN_PATIENCE);
        return longestCall + (pushed ? AGENT_PAUSE : EndpointPollSchedule.BASE_BACKOFF_MS) + TURN + OWN_LATENESS;
    }
}
