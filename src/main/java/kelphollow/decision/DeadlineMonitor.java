package kelphollow.decision;

import kelphollow.decision.ControlAction.Reason;

/**
 * Acts on times that have passed: a missed objective leaves the order of the tags, a deadline gets its
 * answer.
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

    void expire() {
        PendingRequest request = state.deadlines.pollDue(state.now());
        while (request != null) {
            if (state.requests.isOpen(request) && !isStreamingOn(request)) {
                expire(request);
            }
            request = state.deadlines.pollDue(state.now());
        }
    }

    private boolean isStreamingOn(PendingRequest request) {
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
     * This instance shuts down: what is open gets its answer by then, a streamed response at that very time.
     */
    void shutDownAt(double deadline) {
        state.requests.shutDownAt(deadline);
        for (PendingRequest request : state.requests.all()) {
            request.answerAt = request.streaming ? deadline : Math.min(request.answerAt, deadline);
            state.deadlines.add(request.answerAt, request);
        }
    }
}
