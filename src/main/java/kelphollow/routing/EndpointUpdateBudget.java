package kelphollow.routing;

import kelphollow.decision.EndpointPollSchedule;

/**
 * How long an update of the endpoint list may take to arrive, as one sum. By discovery's terms, whatever failed before, a
 * change counts as notified {@link #NOTIFIED_AFTER} after discovery had it and could be reached; a scheduler that has not
 * received it by then, plus the grace for drains, breaks its promise. All times are milliseconds.
 */
public final class EndpointUpdateBudget {
    /** Time after which a change counts as notified, by discovery's terms. */
    public static final double NOTIFIED_AFTER = 6_000;
    /** The longest that a poll waits for a change. Each is shortened at random, which spreads the fleet's polls. */
    public static final double LONG_POLL_WAIT = 1_400;
    /** What a poll may take beyond its wait; after that its connection counts as stalled. */
    public static final double POLL_MARGIN = 900;
    /** The longest that a poll which begins a watch is queued at discovery before it is rejected. */
    public static final double QUEUE_WAIT = 2_000;
    /**
     * Timeout of a poll that begins a watch. It is longer than the time in the queue: a poll that times out stays
     * queued at the service, ahead of the next one.
     */
    public static final double FIRST_POLL_TIMEOUT = QUEUE_WAIT + 300;
    /** Timeout of a poll to a new service: its changes count as notified after 4 s, one lost poll included. */
    public static final double NEW_SOURCE_TIMEOUT = 1_800;
    /** Delay that this program adds by being scheduled late. */
    public static final double LOCAL_DELAY = 150;

    /**
     * Delay before an agent is polled again after a failure. An agent serves this scheduler alone; while its service
     * is down it is silent, and a change counts as notified as soon as the service is back: the delay must be shorter
     * than the grace for drains, however long the service was down.
     */
    static final double AGENT_RETRY_DELAY = 100;

    private EndpointUpdateBudget() {}

    /**
     * The longest time from a change to its arrival, while the service answers: a poll was made just before the watch
     * stalled, or the service went down or came back; then the longest backoff; then the poll that brings the change.
     * Polls that a service with a full queue rejects are not in it: {@link EndpointPollSchedule} spreads those.
     *
     * @param pushed whether the list comes from an agent on this machine
     */
    public static double longestDelay(boolean pushed) {
        double longestPoll = Math.max(LONG_POLL_WAIT + POLL_MARGIN, FIRST_POLL_TIMEOUT);
        double longestBackoff = pushed ? AGENT_RETRY_DELAY : EndpointPollSchedule.BASE_BACKOFF_MS;
        return longestPoll + longestBackoff + QUEUE_WAIT + LOCAL_DELAY;
    }
}
