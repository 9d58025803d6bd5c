package kelphollow.decision;

import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptProgressed;
import kelphollow.decision.ControlEvent.ClientDisconnected;
import kelphollow.decision.ControlEvent.EndpointLeaseRenewed;
import kelphollow.decision.ControlEvent.EndpointPollFailed;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.ControlEvent.EndpointSourceChanged;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.LimitsHandedOver;
import kelphollow.decision.ControlEvent.LimitsNotHandedOver;
import kelphollow.decision.ControlEvent.LimitsRestored;
import kelphollow.decision.ControlEvent.NodesSuspected;
import kelphollow.decision.ControlEvent.PredecessorReplaced;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.ResponseStarted;
import kelphollow.decision.ControlEvent.RetryBudgetChanged;
import kelphollow.decision.ControlEvent.SettingsChanged;
import kelphollow.decision.ControlEvent.ShutdownStarted;
import kelphollow.decision.ControlEvent.TimerFired;

/** Passes each event to the components that handle it. */
final class EventHandler implements ControlEvent.Handler {
    private final SchedulerState state;
    private final EndpointPollSchedule pollSchedule;
    private final WakeTimer wakeTimer;
    private final FinalAnswers answers;
    private final DeadlineMonitor deadlines;
    private final RequestArrivals arrivals;
    private final AttemptCompletions completions;
    private final LimitHandover limitHandover;

    EventHandler(SchedulerState state, EndpointPollSchedule pollSchedule, WakeTimer wakeTimer,
        FinalAnswers answers, DeadlineMonitor deadlines) {
        this.state = state;
        this.pollSchedule = pollSchedule;
        this.wakeTimer = wakeTimer;
        this.answers = answers;
        this.deadlines = deadlines;
        this.arrivals = new RequestArrivals(state, answers);
        this.completions = new AttemptCompletions(state, answers);
        this.limitHandover = new LimitHandover(state, answers);
    }

    @Override public void requestArrived(RequestArrived event) {
        arrivals.arrived(event);
    }

    @Override public void clientDisconnected(ClientDisconnected event) {
        PendingRequest request = state.requests.get(event.id());
        if (request != null) {
            answers.cancelAndClose(request);
        }
    }

    @Override public void responseStarted(ResponseStarted event) {
        PendingRequest request = state.requests.get(event.id());
        if (request != null) {
            request.streaming = true;
        }
        String key = InFlightAttempt.key(event.id(), event.attempt());
        InFlightAttempt attempt = state.requests.attempt(key);
        if (attempt != null) {
            attempt.node.release(key);
        }
    }

    @Override public void attemptProgressed(AttemptProgressed event) {
        InFlightAttempt attempt = state.requests.attempt(InFlightAttempt.key(event.id(), event.attempt()));
        if (attempt != null) {
            attempt.progressed(state.now());
        }
    }

    @Override public void attemptEnded(AttemptEnded event) {
        completions.ended(event);
    }

    @Override public void endpointsReceived(EndpointsReceived event) {
        if (!event.cached()) {
            pollSchedule.received();
        }
        state.nodes.apply(event);
    }

    @Override public void endpointPollFailed(EndpointPollFailed event) {
        pollSchedule.failed(state.now(), event.failure() == EndpointPollFailure.REJECTED);
    }

    @Override public void endpointLeaseRenewed(EndpointLeaseRenewed event) {
        state.nodes.renewLease(event.validUntil());
    }

    @Override public void endpointSourceChanged(EndpointSourceChanged event) {
        pollSchedule.sourceChanged(state.now());
    }

    @Override public void nodesSuspected(NodesSuspected event) {
        state.nodes.suspected(event.nodes());
    }

    @Override public void retryBudgetChanged(RetryBudgetChanged event) {
        state.nodes.limitRetries(event);
    }

    @Override public void settingsChanged(SettingsChanged event) {
        state.catalog.reload(event.classes());
        state.retries.setMaxAttempts(event.maxAttempts());
    }

    @Override public void limitsRestored(LimitsRestored event) {
        state.volumes.restore(event.tokens());
    }

    @Override public void predecessorReplaced(PredecessorReplaced event) {
        state.nodes.holdWarmingUp(state.now() + state.context.rules().overloadSpan());
    }

    @Override public void limitsNotHandedOver(LimitsNotHandedOver event) {
        state.volumes.refillFrom(state.now());
    }

    @Override public void limitsHandedOver(LimitsHandedOver event) {
        limitHandover.handOver();
        state.nodes.holdWarmingUp(Double.POSITIVE_INFINITY);
    }

    @Override public void shutdownStarted(ShutdownStarted event) {
        deadlines.shutDownAt(event.deadline());
    }

    @Override public void timerFired(TimerFired event) {
        wakeTimer.fired();
    }
}
