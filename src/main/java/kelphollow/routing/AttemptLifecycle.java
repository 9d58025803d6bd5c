package kelphollow.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import kelphollow.decision.ControlAction.CancelAttempt;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.AttemptProgressed;
import kelphollow.decision.ControlEvent.ResponseStarted;

/**
 * Manages attempts from their start to their outcome. Only what {@link SendEligibility} allows is written to a node, for
 * first attempts and retries alike. Confined to the event loop.
 */
final class AttemptLifecycle {
    private static final Logger LOG = Logger.getLogger(AttemptLifecycle.class.getName());

    private final Ticker ticker;
    private final Backend backend;
    private final DecisionLoop decisions;
    private final RequestLifecycle requests;
    private final EndpointTable endpoints;
    private final SendEligibility eligibility;
    private final StallDetector stalls;
    private final RequestLog log;
    private final Map<String, Attempt> inFlight = new HashMap<>();

    AttemptLifecycle(Ticker ticker, Backend backend, DecisionLoop decisions, RequestLifecycle requests,
        EndpointTable endpoints,
        SendEligibility eligibility, StallDetector stalls, RequestLog log) {
        this.ticker = ticker;
        this.backend = backend;
        this.decisions = decisions;
        this.requests = requests;
        this.endpoints = endpoints;
        this.eligibility = eligibility;
        this.stalls = stalls;
        this.log = log;
    }

    double now() {
        return ticker.now();
    }

    /** Total time for which this event loop has been stalled, in milliseconds. */
    double stalledFor() {
        return stalls.stalledFor();
    }

    /** Starts the next attempt of a request, as the decision module decided. */
    void send(SendAttempt action) {
        Request request = requests.find(action.id());
        ResolvedEndpoint target = endpoints.find(action.node());
        if (!Invariant.holds(request != null && target != null,
            () -> "cannot send request " + action.id() + " to node " + action.node() + ": not open, or not listed")) {
            return;
        }
        double now = now();
        double deadline = request.arrival().deadline();
        double timeoutAt = action.timeout() > 0 ? Math.min(deadline, now + action.timeout()) : deadline;
        Attempt attempt = new Attempt(this, request, request.attemptCount(), target, now, timeoutAt, action.writeBy());
        log.attemptStarted(attempt);
        eligibility.checkDecision(attempt, decisions.decidedAt());
        request.add(attempt);
        inFlight.put(key(attempt), attempt);
        attempt.setTimeout(ticker.after(timeoutAt - now, () -> timedOut(attempt)));
        SendVerdict verdict = eligibility.verdictBeforeConnecting(attempt);
        if (verdict == SendVerdict.ALLOWED) {
            start(attempt);
        } else {
            checked(attempt, verdict);
            attempt.ended(AttemptResult.of(AttemptOutcome.NOT_SENT));
        }
    }

    private void start(Attempt attempt) {
        try {
            backend.start(attempt);
        } catch (RuntimeException e) {
            // A fault in a backend fails one attempt, not the scheduler. RESET: the request may have been written.
            LOG.log(Level.WARNING, "backend failed to start " + attempt, e);
            attempt.ended(AttemptResult.of(AttemptOutcome.RESET));
        }
    }

    /** Cancels an attempt that is in flight, even if its request has had its final response. */
    void cancel(CancelAttempt action) {
        Attempt attempt = inFlight.get(key(action.id(), action.attempt()));
        if (attempt != null) {
            cancel(attempt, AttemptOutcome.CANCELLED);
        }
    }

    /** A late event loop may run the timer in the same batch as one that has begun to forward the response. */
    private void timedOut(Attempt attempt) {
        if (!attempt.isResponding()) {
            cancel(attempt, AttemptOutcome.TIMED_OUT);
        }
    }

    private void cancel(Attempt attempt, AttemptOutcome outcome) {
        if (attempt.isInFlight()) {
            backend.cancel(attempt);
            ended(attempt, AttemptResult.of(outcome));
        }
    }

    /** Whether the attempt's first byte may be written now that its connection is established. */
    boolean maySend(Attempt attempt) {
        SendVerdict verdict = eligibility.verdict(attempt);
        checked(attempt, verdict);
        return verdict == SendVerdict.ALLOWED;
    }

    /** The first byte was written so long after the check; by then the client may have left or the node begun to drain. */
    void firstByteWritten(Attempt attempt, double afterCheck) {
        log.firstByteWritten(attempt, afterCheck);
    }

    private void checked(Attempt attempt, SendVerdict verdict) {
        log.eligibilityChecked(attempt, verdict);
        if (verdict == SendVerdict.CLIENT_UNCONFIRMED) {
            attempt.setClientUnconfirmed();
        }
    }

    void responseStarted(Attempt attempt) {
        attempt.cancelTimeout();
        decisions.handle(new ResponseStarted(attempt.request().arrival().id(), attempt.number()));
    }

    void progressed(Attempt attempt) {
        decisions.handle(new AttemptProgressed(attempt.request().arrival().id(), attempt.number()));
    }

    /** Ends the attempt with its outcome: responds to the client if it was served, then notifies the decision module. */
    void ended(Attempt attempt, AttemptResult result) {
        if (!attempt.finish()) {
            return;
        }
        inFlight.remove(key(attempt));
        AttemptOutcome outcome = result.outcome();
        log.attemptEnded(outcome);
        Request request = attempt.request();
        request.attemptEnded(outcome);
        if (outcome == AttemptOutcome.SERVED) {
            requests.served(request, result.response());
        }
        decisions.handle(new AttemptEnded(request.arrival().id(), attempt.number(), attempt.target().endpoint().node(),
            outcome,
            attempt.latency(), request.isFinished(), result.bodyConsumed() || attempt.isClientUnconfirmed(),
            result.unitsElsewhere(), result.usagePercent(), result.loadReport()));
    }

    private static String key(Attempt attempt) {
        return key(attempt.request().arrival().id(), attempt.number());
    }

    private static String key(String request, int attempt) {
        return request + '#' + attempt;
    }
}
