package kelphollow.decision;

import kelphollow.decision.ControlAction.CancelAttempt;
import kelphollow.decision.ControlAction.FailRequest;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlAction.RejectRequest;

/** Closes requests, with or without a final answer. Times are milliseconds. */
final class FinalAnswers {
    private final SchedulerState state;

    FinalAnswers(SchedulerState state) {
        this.state = state;
    }

    /** Rejects a request if the client may safely retry it, and fails it otherwise. */
    void answer(PendingRequest request, Reason reason) {
        ControlAction answer = state.retries.isSafeForClient(request)
            ? new RejectRequest(request.id(), retryAfter(request), reason)
            : new FailRequest(request.id(), reason);
        state.actions.add(answer);
        cancelAndClose(request);
    }

    /** Closes a request and cancels its attempt in flight if the settings allow it. */
    void cancelAndClose(PendingRequest request) {
        if (request.inFlight != null && state.context.settings().mayCancel()) {
            state.actions.add(new CancelAttempt(request.id(), request.attempts - 1));
        }
        close(request);
    }

    /** Removes a finished request and returns its tokens if it is queued and not late. */
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

    /**
     * Time after which a retry may succeed: the rate limit allows the request's units, and the requests
     * queued ahead of it may have been sent.
     */
    private double retryAfter(PendingRequest request) {
        double now = state.now();
        double longest = state.context.settings().maxRetryAfter();
        // After one latency objective every request that is queued now was either sent or abandoned.
        double wait = request.requestClass.latencyObjective();
        double queued = state.queues.of(request).size();
        for (Node node : state.nodes.all()) {
            if (node.cell == request.arrival.cell()) {
                double queueWait = node.latency.expected() * (1 + queued / Math.max(1, node.window.size()));
                double nodeWait = Math.max(queueWait, node.health.sendableAt() - now);
                wait = node.isEligible() ? Math.max(wait, nodeWait) : longest;
            }
        }
        return Math.min(longest, Math.max(wait, request.volume.limiter.waitFor(request.units(), now)));
    }
}
