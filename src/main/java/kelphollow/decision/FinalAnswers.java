package kelphollow.decision;

import kelphollow.decision.ControlAction.CancelAttempt;
import kelphollow.decision.ControlAction.FailRequest;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlAction.RejectRequest;

/** Ends requests, with or without an answer. Times are milliseconds. */
final class FinalAnswers {
    private final SchedulerState state;

    FinalAnswers(SchedulerState state) {
        this.state = state;
    }

    /** Rejects a request where the client may safely retry, and fails it otherwise. */
    void answer(PendingRequest request, Reason reason) {
        ControlAction answer = state.retries.isSafeForClient(request)
            ? new RejectRequest(request.id(), retryAfter(request), reason)
            : new FailRequest(request.id(), reason);
        state.actions.add(answer);
        cancelAndClose(request);
    }

    /** Ends a request that is owed no answer any more. */
    void cancelAndClose(PendingRequest request) {
        if (request.inFlight != null && state.context.settings().mayCancel()) {
            state.actions.add(new CancelAttempt(request.id(), request.attempts - 1));
        }
        close(request);
    }

    /** Forgets a request that has had its answer. */
    void close(PendingRequest request) {
        state.requests.remove(request);
        if (request.queued) {
            state.queues.of(request).remove(request);
            if (!request.late) {
                state.tagger.returnTokens(request);
            }
        }
        state.keyOrders.closed(request);
    }

    /** When a retry may be of use: the limit holds its units, and what is queued here may have left. */
    private double retryAfter(PendingRequest request) {
        double now = state.now();
        double longest = state.context.settings().maxRetryAfter();
        // Whatever is queued ahead now has left or was given up once a latency objective is over.
        double wait = request.requestClass.latencyObjective();
        double queued = state.queues.of(request).size();
        for (Node node : state.nodes.all()) {
            if (node.cell == request.arrival.cell()) {
                double turn = node.latency.expected() * (1 + queued / Math.max(1, node.window.size()));
                double later = Math.max(turn, node.health.sendableAt() - now);
                wait = node.isEligible() ? Math.max(wait, later) : longest;
            }
        }
        return Math.min(longest, Math.max(wait, request.volume.limiter.waitFor(request.units(), now)));
    }
}
