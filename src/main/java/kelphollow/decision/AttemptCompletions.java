package kelphollow.decision;

import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;

/**
 * Handles the end of an attempt: updates the node's and the volume's statistics, then retries, answers or
 * closes the request.
 */
final class AttemptCompletions {
    private final SchedulerState state;
    private final FinalAnswers answers;

    AttemptCompletions(SchedulerState state, FinalAnswers answers) {
        this.state = state;
        this.answers = answers;
    }

    void ended(AttemptEnded event) {
        String key = InFlightAttempt.key(event.id(), event.attempt());
        InFlightAttempt attempt = state.requests.removeAttempt(key);
        if (attempt == null) {
            return;
        }
        PendingRequest request = attempt.request;
        attempt.node.release(key);
        state.nodes.removeIfGone(attempt.node);
        updateStatistics(attempt, event);
        state.keyOrders.attemptEnded(request, event.outcome());
        request.inFlight = null;
        recordPossibleExecution(attempt, event.outcome());
        if (state.requests.isOpen(request)) {
            retryOrAnswer(attempt, event);
        } else {
            state.keyOrders.closed(request);
        }
    }

    private void updateStatistics(InFlightAttempt attempt, AttemptEnded event) {
        Volume volume = attempt.request.volume;
        volume.usage.reported(state.now(), event.unitsElsewhere(), event.usagePercent(), volume.plan.rate());
        attempt.node.recordOutcome(attempt, event);
        if (event.outcome() == AttemptOutcome.SERVED) {
            volume.usage.served(attempt.request.units());
        }
    }

    private static void recordPossibleExecution(InFlightAttempt attempt, AttemptOutcome outcome) {
        PendingRequest request = attempt.request;
        boolean possiblyExecuted = !outcome.provesNotExecuted();
        request.reachedNode |= outcome == AttemptOutcome.AT_CAPACITY || possiblyExecuted;
        if (possiblyExecuted && !request.possiblyExecuted()) {
            request.possiblyExecutedSince = attempt.sentAt;
            request.possiblyExecutedNode = attempt.node;
        }
    }

    private void retryOrAnswer(InFlightAttempt attempt, AttemptEnded event) {
        PendingRequest request = attempt.request;
        double now = state.now();
        if (request.streaming) {     // the response was truncated: the deadline applies again
            request.streaming = false;
            state.deadlines.add(request.answerAt, request);
        }
        if (event.requestFinished()) {
            answers.close(request);
        } else if (!event.unrepeatable() && mayRetry(request, attempt.node)) {
            requeue(request, attempt.node, event.outcome());
        } else {
            answers.answer(request,
                now >= request.answerAt ? Reason.DEADLINE_EXCEEDED : Reason.NOT_RETRYABLE);
        }
    }

    private boolean mayRetry(PendingRequest request, Node failed) {
        double now = state.now();
        return state.retries.mayRetry(request) && failed.retryBudget.allows(now)
            && (request.reachedNode || now < request.queuedUntil);
    }

    private void requeue(PendingRequest request, Node failed, AttemptOutcome outcome) {
        request.retryAt = state.retries.retryAt(request, outcome);
        request.late |= request.retryAt + failed.latency.expected() > request.objectiveAt;
        if (!request.late) {
            state.tagger.requeued(request);
        }
        state.queues.of(request).add(request);
    }
}
