package kelphollow.decision;

import java.util.List;

/**
 * What an instance of the decision module is configured with at its start. Times are milliseconds on the host's clock,
 * work is in units. Immutable.
 *
 * @param instanceIndex index of this instance, from 0
 * @param instances number of instances that share the nodes and the limits, at least 1
 * @param zone availability zone of this instance
 * @param tick granularity of the host's timers
 * @param maxAttempts attempts that a request may have in all, at least 1
 * @param maxOpen requests that may be open at once
 * @param mayCancel whether an attempt in flight may be cancelled
 * @param endpointsPolled whether the endpoint list is polled from a shared service; otherwise it is pushed
 * @param maxRetryAfter the longest Retry-After; 0 when clients ignore it
 * @param meanUnits units of an average request
 * @param quotaWeight share of the priority weight that a request beyond its reserve but within its quota keeps
 * @param excessWeight share of the priority weight that a request beyond its quota keeps
 * @param classes the request classes, at least one
 * @param plans the plans, at least one
 * @param rules figures of the service rules
 */
public record ControlSettings(int instanceIndex, int instances, String zone, double tick, int maxAttempts, int maxOpen,
                              boolean mayCancel,
                              boolean endpointsPolled, double maxRetryAfter, double meanUnits, double quotaWeight,
                              double excessWeight, List<RequestClass> classes, List<Plan> plans, Rules rules) {
    /** Whether a request of a class may be executed more than once. */
    public enum Idempotency {
        /** It may, at any time. */
        IDEMPOTENT,
        /** Its idempotency key makes nodes drop duplicates while they remember it. */
        IDEMPOTENCY_KEY,
        /** It may not: an attempt that may have been executed is the last one. */
        NOT_IDEMPOTENT
    }

    /** Which nodes recognise the idempotency key of a request that one of them has executed. */
    public enum DeduplicationScope {
        /** Every node. */
        ALL,
        /** The nodes of the same zone. */
        ZONE,
        /** The nodes of the same cell. */
        CELL
    }

    /**
     * A class of requests.
     *
     * @param name unique among the classes
     * @param latencyObjective time within which an answer earns the full priority weight, above 0
     * @param deadline time after which no answer is waited for
     * @param priorityWeight value of an answer within the latency objective
     * @param lateShare share of the value that an answer after the objective keeps
     * @param idempotency whether a request may be executed more than once
     * @param deduplicationScope which nodes recognise an idempotency key
     * @param idempotencyWindow how long nodes remember an idempotency key
     * @param ordered whether requests of one key are executed one after the other
     * @param streaming whether answers are streamed
     */
    public record RequestClass(String name, double latencyObjective, double deadline, double priorityWeight,
                               double lateShare,
                               Idempotency idempotency, DeduplicationScope deduplicationScope, double idempotencyWindow,
                               boolean ordered, boolean streaming) {}

    /**
     * A plan of a volume; figures hold per volume over all instances.
     *
     * @param name unique among the plans
     * @param rate units a second of the arrival curve, above 0
     * @param reserve units a second that are served ahead of everything else
     * @param weight relative weight of the plan
     * @param price factor on the priority weight of a request
     * @param limitRate units a second that may be sent at most; 0: no limit
     * @param limitBurst units that may be sent at once beyond the limit's rate
     * @param limitSlack units by which the limit may be overrun before it counts as broken
     */
    public record Plan(String name, double rate, double reserve, double weight, double price, double limitRate,
                       double limitBurst, double limitSlack) {}

    /**
     * Figures of the service rules.
     *
     * @param drainGrace time after which nothing may be sent to a node that drains
     * @param slowStartShare share of its capacity that a node has at its start
     * @param slowStartTime time that a node takes to reach full capacity
     * @param overloadMultiple multiple of its capacity at which a node in slow start collapses
     * @param overloadSpan time over which that load is counted
     * @param slowStartUnits units that a node at its start is sure to bear within that time
     * @param keyQuietTime time for which an ordered key rests after an attempt of unknown outcome
     * @param retryBudgetFree retries that are allowed beside the share
     * @param retryBudgetShare retries that are allowed for each first attempt
     * @param retryBudgetWindow sliding window in which both are counted; 0: retries are not counted
     * @param pollInterval time for which an instance without a watch need not poll the endpoint list
     */
    public record Rules(double drainGrace, double slowStartShare, double slowStartTime, double overloadMultiple,
                        double overloadSpan, double slowStartUnits, double keyQuietTime, double retryBudgetFree,
                        double retryBudgetShare, double retryBudgetWindow, double pollInterval) {}
}
