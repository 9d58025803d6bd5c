package kelphollow.decision;

import java.util.List;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.RequestClass;

/**
 * Whether, when and where a request may be attempted again: the retry budgets, the number of attempts, and
 * the windows within which nodes recognise an idempotency key. Times are milliseconds. Confined to the thread
 * that drives {@link Control}.
 */
final class RetryPolicy {
    /** Time until a retry, multiplied by the attempts made so far. */
    private static final double BACKOFF_MS = 40;

    private final DecisionContext context;
    private final NodeTable nodes;
    /** All retries of this instance against all requests that arrive. */
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

    /** Changes the number of attempts that a request may have; at least 1 whatever is given. */
    void setMaxAttempts(int attempts) {
        maxAttempts = Math.max(1, attempts);
    }

    /** A request has arrived, which the budget counts as a first attempt. */
    void requestArrived() {
        budget.addFirstAttempt(context.now());
    }

    /**
     * Whether a client's own retry may go on. It counts in the budget of the nodes that may take it as it
     * arrives, whether it is sent or not.
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

    /** Whether the budgets leave room for the next attempt of a request at a node. */
    boolean budgetsAllow(PendingRequest request, Node node) {
        double now = context.now();
        return request.attempts == 0 || budget.allows(now) && node.retryBudget.allows(now);
    }

    /** Whether the next attempt at a node has no second effect. */
    boolean isSafeAt(PendingRequest request, Node node) {
        return !request.possiblyExecuted() || request.requestClass.idempotency() == Idempotency.IDEMPOTENT
            || recognisesKey(request, node);
    }

    private boolean recognisesKey(PendingRequest request, Node node) {
        if (context.now() >= writeBy(request)) {
            return false;
        }
        Node executedAt = request.possiblyExecutedAt;
        return switch (request.requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> node.zone != null && node.zone.equals(executedAt.zone);
            case CELL -> node.cell == executedAt.cell;
        };
    }

    /**
     * Until when the writing of the next attempt must have begun, so that nodes surely remember the
     * idempotency key of a request that may have been executed; 0: no such bound.
     */
    double writeBy(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        if (requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY || !request.possiblyExecuted()) {
            return 0;
        }
        return request.possiblyExecutedSince + requestClass.idempotencyWindow() - context.tick();
    }

    /** The next attempt of a request goes to a node: the budgets count it. */
    void sent(PendingRequest request, Node node) {
        double now = context.now();
        if (request.attempts > 0) {
            node.retryBudget.addRetry(now);
            budget.addRetry(now);
        } else if (!request.arrival.isRetry()) {
            node.retryBudget.addFirstAttempt(now);
        }
    }

    /** Whether a request whose attempt has failed may have another one at all. */
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

    /** When a request may be sent again after an outcome: what timed out has waited long enough. */
    double retryAt(PendingRequest request, AttemptOutcome outcome) {
        double now = context.now();
        return outcome == AttemptOutcome.TIMED_OUT ? now : now + BACKOFF_MS * request.attempts;
    }

    /** How long to wait for an answer so that a retry can still meet the objective; 0: until the deadline. */
    double attemptTimeout(PendingRequest request, Node node) {
        double expected = node.latency.expected(request.units());
        double spare = request.objectiveAt - context.now() - expected - 2 * context.tick();
        boolean safe = request.requestClass.idempotency() == Idempotency.IDEMPOTENT && !request.late;
        return safe && spare > LatencyEstimate.LOST_LATENCY_MULTIPLE * expected ? spare : 0;
    }

    /** Whether the client may safely send the request again after its final answer. */
    boolean isSafeForClient(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        return request.provablyNotExecuted() || requestClass.idempotency() == Idempotency.IDEMPOTENT
            || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }
}
