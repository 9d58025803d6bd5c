package kelphollow.routing;

import kelphollow.decision.EndpointPollSchedule;

/**
 * The time budget of an update of the endpoint list, from the change at discovery to its arrival here. By discovery's
 * contract, whatever failed before, an instance counts as notified of a change {@link #NOTIFIED_AFTER_MS} after discovery
 * had it and could be reached. A scheduler that has not received the change by then, plus the drain grace, violates the
 * contract. All times are milliseconds.
 */
public final class EndpointUpdateBudget {
    /** Time after which an instance counts as notified of a change, by discovery's contract. */
    public static final double NOTIFIED_AFTER_MS = 6_000;
    /** The longest that a poll waits for a change. Each wait is shortened at random, which spreads the fleet's polls. */
    public static final double LONG_POLL_WAIT_MS = 1_400;
    /** What a poll may take beyond its wait; after that its connection counts as stalled. */
    public static final double POLL_MARGIN_MS = 900;
    /** The longest that a poll which begins a watch is queued at discovery before it is rejected. */
    public static final double QUEUE_WAIT_MS = 2_000;
    /**
     * Timeout of a poll that begins a watch. It exceeds the time in the queue, because a poll that times out stays queued
     * at the service, ahead of the next one.
     */
    public static final double FIRST_POLL_TIMEOUT_MS = QUEUE_WAIT_MS + 300;
    /** Timeout of a poll to a new service: its changes count as notified after 4 s, one lost poll included. */
    public static final double NEW_SOURCE_TIMEOUT_MS = 1_800;
    /** Delay that this process adds when it is scheduled late. */
    public static final double LOCAL_DELAY_MS = 150;

    /**
     * Delay before an agent is polled again after a failure. An agent serves this scheduler alone. While the agent's
     * service is down the agent is silent, and a change counts as notified as soon as the service is back, so the delay
     * must be shorter than the drain grace however long the service was down.
     */
    static final double AGENT_RETRY_DELAY_MS = 100;

    private EndpointUpdateBudget() {}

    /**
     * Returns the longest time from a change to its arrival, while the service responds: a poll was made just before the
     * watch stalled, or the service went down or came back; then the longest backoff; then the poll that brings the
     * change. Polls that a service with a full queue rejects are not included: {@link EndpointPollSchedule} spreads those.
     *
     * @param pushed whether the list comes from an agent on this machine
     */
    public static double longestDelay(boolean pushed) {
        double longestPoll = Math.max(LONG_POLL_WAIT_MS + POLL_MARGIN_MS, FIRST_POLL_TIMEOUT_MS);
        double longestBackoff = pushed ? AGENT_RETRY_DELAY_MS : EndpointPollSchedule.BASE_BACKOFF_MS;
        return longestPoll + longestBackoff + QUEUE_WAIT_MS + LOCAL_DELAY_MS;
    }
}
