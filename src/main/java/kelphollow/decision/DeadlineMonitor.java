package kelphollow.decision;

import kelphollow.decision.ControlAction.Reason;

/**
 * Handles expired times of requests: a request that misses its latency objective leaves the tag order, and
 * one that reaches its deadline gets its final answer.
 */
final class DeadlineMonitor {
    private final SchedulerState state;
    private final FinalAnswers answers;
    private final QueueShedder shedder;

    DeadlineMonitor(SchedulerState state, FinalAnswers answers, QueueShedder shedder) {
        this.state = state;
        this.answers = answers;
        this.shedder = shedder;
    }

    /** Handles all times that have expired by now. */
    void expire() {
        PendingRequest request = state.deadlines.pollDue(state.now());
        while (request != null) {
            if (state.requests.isOpen(request) && !isStillStreaming(request)) {
                expire(request);
            }
            request = state.deadlines.pollDue(state.now());
        }
    }

    private boolean isStillStreaming(PendingRequest request) {
        return request.streaming && state.now() < state.requests.shutdownAt();
    }

    private void expire(PendingRequest request) {
        double now = state.now();
        if (now >= request.answerAt) {
            answers.answer(request, Reason.DEADLINE_EXCEEDED);
        } else if (now >= request.queuedUntil && request.queued && !request.reachedNode) {
            answers.answer(request, Reason.NO_ENDPOINT_IN_TIME);
        } else if (now >= request.objectiveAt && !request.late) {
            if (request.queued) {
                shedder.moveToLate(request);
            }
            request.late = true;
        }
    }

    /**
     * Starts a graceful shutdown: open requests get their final answer by {@code deadline}; streamed
     * responses are ended exactly at {@code deadline}.
     */
    void shutDownAt(double deadline) {
        state.requests.shutDownAt(deadline);
        for (PendingRequest request : state.requests.all()) {
            request.answerAt = request.streaming ? deadline : Math.min(request.answerAt, deadline);
            state.deadlines.add(request.answerAt, request);
        }
    }
}
