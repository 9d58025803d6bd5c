package kelphollow.decision;

import java.util.List;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.RequestClass;

/**
 * Decides whether, when and where a request may be retried, by the retry budgets, the number of attempts and
 * the windows within which nodes recognise an idempotency key. Times are milliseconds. Confined to the thread
 * that drives {@link Control}.
 */
final class RetryPolicy {
    /** Backoff before a retry, multiplied by the number of attempts so far. */
    private static final double BACKOFF_MS = 40;

    private final DecisionContext context;
    private final NodeTable nodes;
    /** Limits all retries of this instance to a share of all arriving requests. */
    private final RetryBudget budget;
    private int maxAttempts;

    RetryPolicy(DecisionContext context, NodeTable nodes) {
        this.context = context;
        this.nodes = nodes;
        ControlSettings.Rules rules = context.rules();
        budget = new RetryBudget(rules.retryBudgetWindow(), rules.retryBudgetFree(), rules.retryBudgetShare(),
            context.tick());
        maxAttempts = context.settings().maxAttempts();
    }

    /** Sets the maximum number of attempts per request; values below 1 count as 1. */
    void setMaxAttempts(int attempts) {
        maxAttempts = Math.max(1, attempts);
    }

    /** Counts an arriving request as a first attempt in this instance's budget. */
    void requestArrived() {
        budget.addFirstAttempt(context.now());
    }

    /**
     * Whether the node budgets admit a retry that its client has marked. An admitted retry counts on arrival
     * in the budgets of all nodes that may take it, whether it is sent or not.
     */
    boolean admitsClientRetry(RequestArrived arrival) {
        double now = context.now();
        List<Node> candidates = nodes.all().stream()
            .filter(n -> n.cell == arrival.cell() && n.isEligible()).toList();
        boolean admitted = candidates.stream().allMatch(n -> n.retryBudget.allows(now));
        if (admitted) {
            candidates.forEach(n -> n.retryBudget.addRetry(now));
        }
        return admitted;
    }

    /** Whether the budgets allow the next attempt of a request at a node. */
    boolean budgetsAllow(PendingRequest request, Node node) {
        double now = context.now();
        return request.attempts == 0 || budget.allows(now) && node.retryBudget.allows(now);
    }

    /** Whether the next attempt at a node cannot duplicate the effect of an earlier one. */
    boolean isSafeAt(PendingRequest request, Node node) {
        return !request.possiblyExecuted() || request.requestClass.idempotency() == Idempotency.IDEMPOTENT
            || recognisesKey(request, node);
    }

    private boolean recognisesKey(PendingRequest request, Node node) {
        if (context.now() >= writeBy(request)) {
            return false;
        }
        Node executedOn = request.possiblyExecutedNode;
        return switch (request.requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> node.zone != null && node.zone.equals(executedOn.zone);
            case CELL -> node.cell == executedOn.cell;
        };
    }

    /**
     * Time by which writing of the next attempt must begin, so that nodes still remember the idempotency key
     * of a request that may have been executed; 0: no such bound.
     */
    double writeBy(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        if (requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY || !request.possiblyExecuted()) {
            return 0;
        }
        return request.possiblyExecutedSince + requestClass.idempotencyWindow() - context.tick();
    }

    /** Counts the next attempt of a request in the budgets as it is sent to a node. */
    void sent(PendingRequest request, Node node) {
        double now = context.now();
        if (request.attempts > 0) {
            node.retryBudget.addRetry(now);
            budget.addRetry(now);
        } else if (!request.arrival.isRetry()) {
            node.retryBudget.addFirstAttempt(now);
        }
    }

    /** Whether a request whose attempt has failed may be retried at all. */
    boolean mayRetry(PendingRequest request) {
        double now = context.now();
        if (request.attempts >= maxAttempts || now >= request.answerAt) {
            return false;
        }
        RequestClass requestClass = request.requestClass;
        return requestClass.idempotency() == Idempotency.IDEMPOTENT || !request.possiblyExecuted()
            || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && now + BACKOFF_MS * request.attempts - request.possiblyExecutedSince
                    < requestClass.idempotencyWindow();
    }

    /** Earliest time of a retry after an outcome; a timed-out attempt needs no further backoff. */
    double retryAt(PendingRequest request, AttemptOutcome outcome) {
        double now = context.now();
        return outcome == AttemptOutcome.TIMED_OUT ? now : now + BACKOFF_MS * request.attempts;
    }

    /** Attempt timeout that leaves time for a retry within the objective; 0: wait until the deadline. */
    double attemptTimeout(PendingRequest request, Node node) {
        double expected = node.latency.expected(request.units());
        double spare = request.objectiveAt - context.now() - expected - 2 * context.tick();
        boolean safe = request.requestClass.idempotency() == Idempotency.IDEMPOTENT && !request.late;
        return safe && spare > LatencyEstimate.LOST_LATENCY_MULTIPLE * expected ? spare : 0;
    }

    /** Whether the client may safely retry the request after its final answer. */
    boolean isSafeForClient(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        return request.provablyNotExecuted() || requestClass.idempotency() == Idempotency.IDEMPOTENT
            || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }
}
