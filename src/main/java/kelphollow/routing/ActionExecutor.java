package kelphollow.routing;

import kelphollow.decision.ControlAction;
import kelphollow.decision.ControlAction.CancelAttempt;
import kelphollow.decision.ControlAction.FailRequest;
import kelphollow.decision.ControlAction.PollEndpoints;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlAction.SetTimer;
import kelphollow.decision.ControlEvent.TimerFired;

/** Dispatches each action of the decision module to the part of the router that executes it. Confined to the event loop. */
final class ActionExecutor implements ControlAction.Handler<RuntimeException> {
    private final Ticker ticker;
    private final DecisionLoop decisions;
    private final RequestLifecycle requests;
    private final AttemptLifecycle attempts;
    private final EndpointList endpoints;

    ActionExecutor(Ticker ticker, DecisionLoop decisions, RequestLifecycle requests, AttemptLifecycle attempts,
        EndpointList endpoints) {
        this.ticker = ticker;
        this.decisions = decisions;
        this.requests = requests;
        this.attempts = attempts;
        this.endpoints = endpoints;
    }

    @Override public void sendAttempt(SendAttempt action) {
        attempts.send(action);
    }

    @Override public void rejectRequest(RejectRequest action) {
        requests.reject(action);
    }

    @Override public void failRequest(FailRequest action) {
        requests.fail(action);
    }

    @Override public void cancelAttempt(CancelAttempt action) {
        attempts.cancel(action);
    }

    @Override public void setTimer(SetTimer action) {
        ticker.after(action.at() - ticker.now(), () -> decisions.handle(new TimerFired(action.name())));
    }

    @Override public void pollEndpoints(PollEndpoints action) {
        endpoints.poll();
    }
}
