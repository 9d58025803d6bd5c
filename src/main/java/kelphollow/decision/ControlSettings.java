package kelphollow.decision;

import java.util.List;

/**
 * Configuration of an instance of the decision module at its start. Times are milliseconds on the caller's clock, work is
 * in units. Immutable.
 *
 * @param instanceIndex index of this instance, from 0
 * @param instances number of instances that share the nodes and the limits, at least 1
 * @param zone availability zone of this instance
 * @param tick granularity of the caller's timers
 * @param maxAttempts total number of attempts that a request may have, at least 1
 * @param maxOpen number of requests that may be open at once
 * @param mayCancel whether an attempt in flight may be cancelled
 * @param endpointsPolled true if the endpoint list is polled from a shared service, false if it is pushed
 * @param maxRetryAfter upper bound of Retry-After; 0 if clients ignore it
 * @param meanUnits average size of a request, in units
 * @param quotaWeight factor on the priority weight of a request beyond its volume's reserve but within its quota
 * @param excessWeight factor on the priority weight of a request beyond its volume's quota
 * @param classes the request classes, at least one
 * @param plans the plans, at least one
 * @param rules parameters of the service rules
 */
public record ControlSettings(int instanceIndex, int instances, String zone, double tick, int maxAttempts, int maxOpen,
                              boolean mayCancel,
                              boolean endpointsPolled, double maxRetryAfter, double meanUnits, double quotaWeight,
                              double excessWeight, List<RequestClass> classes, List<Plan> plans, Rules rules) {
    /** Whether a request of a class may be executed more than once. */
    public enum Idempotency {
        /** It may be executed any number of times. */
        IDEMPOTENT,
        /** It carries an idempotency key: nodes drop duplicates while they remember the key. */
        IDEMPOTENCY_KEY,
        /** It may be executed once only: after an attempt that may have been executed it is not retried. */
        NOT_IDEMPOTENT
    }

    /** The nodes that recognise the idempotency key of a request that one of them has executed. */
    public enum DeduplicationScope {
        /** Every node. */
        ALL,
        /** Nodes of the same zone. */
        ZONE,
        /** Nodes of the same cell. */
        CELL
    }

    /**
     * Settings of a request class.
     *
     * @param name unique among the classes
     * @param latencyObjective latency up to which an answer has the full priority weight, above 0
     * @param deadline time after which the client no longer waits for an answer
     * @param priorityWeight value of an answer within the latency objective
     * @param lateShare factor on the value of an answer after the latency objective
     * @param idempotency whether requests may be executed more than once
     * @param deduplicationScope nodes that recognise an idempotency key
     * @param idempotencyWindow time for which nodes remember an idempotency key
     * @param ordered whether requests with the same key are executed one at a time, in order of arrival
     * @param streaming whether responses are streamed
     */
    public record RequestClass(String name, double latencyObjective, double deadline, double priorityWeight,
                               double lateShare,
                               Idempotency idempotency, DeduplicationScope deduplicationScope, double idempotencyWindow,
                               boolean ordered, boolean streaming) {}

    /**
     * Settings of a plan. They apply to each volume on the plan, summed over all instances.
     *
     * @param name unique among the plans
     * @param rate rate of the arrival curve in units per second, above 0
     * @param reserve units per second that are served before everything else
     * @param weight weight relative to other plans
     * @param price factor on the priority weight of a request
     * @param limitRate maximum units per second that may be sent; 0: no limit
     * @param limitBurst units that may be sent in a burst above the limit's rate
     * @param limitSlack units by which the limit may be exceeded before that counts as a violation
     */
    public record Plan(String name, double rate, double reserve, double weight, double price, double limitRate,
                       double limitBurst, double limitSlack) {}

    /**
     * Parameters of the service rules.
     *
     * @param drainGrace time after the start of a drain from which nothing may be sent to the node
     * @param slowStartShare share of its full capacity that a node has when it starts
     * @param slowStartTime time from a node's start until it has full capacity
     * @param overloadMultiple multiple of its current capacity at which a node in slow start collapses under its load
     * @param overloadSpan time over which that load is measured
     * @param slowStartUnits units within {@code overloadSpan} that a node is guaranteed to tolerate at its start
     * @param keyQuietTime time for which an ordered key is blocked after an attempt with unknown outcome
     * @param retryBudgetFree number of retries allowed in addition to the share
     * @param retryBudgetShare number of retries allowed per first attempt
     * @param retryBudgetWindow sliding window in which both are counted; 0: no retry budget
     * @param pollInterval longest time that an instance without a watch may go without polling the endpoint list
     */
    public record Rules(double drainGrace, double slowStartShare, double slowStartTime, double overloadMultiple,
                        double overloadSpan, double slowStartUnits, double keyQuietTime, double retryBudgetFree,
                        double retryBudgetShare, double retryBudgetWindow, double pollInterval) {}
}
