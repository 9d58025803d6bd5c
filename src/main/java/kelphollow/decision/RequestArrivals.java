package kelphollow.decision;

import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;

/** Admits arriving requests: checks limits and retry budgets, assigns tags and queues the requests. */
final class RequestArrivals {
    private final SchedulerState state;
    private final FinalAnswers answers;

    RequestArrivals(SchedulerState state, FinalAnswers answers) {
        this.state = state;
        this.answers = answers;
    }

    void arrived(RequestArrived arrival) {
        if (state.requests.contains(arrival.id())) {
            return;
        }
        state.retries.requestArrived();
        RequestClass requestClass = state.catalog.requestClass(arrival.requestClass());
        Plan plan = state.catalog.plan(arrival.plan());
        if (requestClass == null || plan == null || !(arrival.units() >= 0)) {
            state.actions.add(new RejectRequest(arrival.id(), 0, Reason.UNKNOWN_CLASS));
            return;
        }
        Volume volume = state.volumes.of(arrival, plan);
        if (volume == null) {
            double retryAfter = state.context.settings().maxRetryAfter();
            state.actions.add(new RejectRequest(arrival.id(), retryAfter, Reason.LOAD_SHED));
            return;
        }
        PendingRequest request = open(arrival, requestClass, volume);
        if (request.volume.limiter.holdsOnlyAfter(request.objectiveAt, arrival.units(), state.now())) {
            answers.answer(request, Reason.RATE_LIMITED);
        } else if (arrival.isRetry() && !state.retries.admitsClientRetry(arrival)) {
            answers.answer(request, Reason.RETRY_BUDGET_EXHAUSTED);
        } else {
            enqueue(request);
        }
    }

    private PendingRequest open(RequestArrived arrival, RequestClass requestClass, Volume volume) {
        state.sizes.arrived(arrival.units());
        long sequence = state.requests.nextSequence();
        double admissionDraw = state.context.random().nextDouble();
        PendingRequest request = new PendingRequest(arrival, requestClass, volume, sequence, admissionDraw,
            state.context, state.requests.shutdownAt());
        state.requests.add(request);
        return request;
    }

    private void enqueue(PendingRequest request) {
        double now = state.now();
        request.late = now >= request.objectiveAt;
        if (request.late) {
            // A client's retry that is past its objective may still be served by an idle node; without one,
            // it is rejected at once.
            request.queuedUntil = now + state.context.tick();
        } else {
            state.tagger.tag(request);
            state.deadlines.add(request.objectiveAt, request);
        }
        state.deadlines.add(request.answerAt, request);
        state.deadlines.add(request.queuedUntil, request);
        state.keyOrders.arrived(request, state.requests.size());
        state.queues.of(request).add(request);
    }
}
