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
 * Attempts from their sending to their outcome. Nothing is written to a node but what {@link SendEligibility} allows,
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

    /** For how long in all this event loop has been stalled, in milliseconds. */
    double stalledFor() {
        return stalls.stalledFor();
    }

    /** Begins the next attempt of a request, as the decision module wants. */
    void send(SendAttempt action) {
        Request request = requests.find(action.id());
        ResolvedEndpoint target = endpoints.find(action.node());
        if (!Invariant.holds(request != null && target != null,
            () -> "send of " + action.id() + " to " + action.node())) {
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
        attempt.setTimeout(ticker.after(timeoutAt - now, () -> cancel(attempt, AttemptOutcome.TIMED_OUT)));
        start(attempt);
    }

    private void start(Attempt attempt) {
        try {
            backend.start(attempt);
        } catch (RuntimeException e) {
            // A fault in a backend costs one attempt, not the scheduler; whether it was written is not known.
            LOG.log(Level.WARNING, "attempt at " + attempt.target().endpoint().node() + " failed", e);
            attempt.ended(AttemptResult.of(AttemptOutcome.RESET));
        }
    }

    /**
     * A cancellation may name an attempt of a request that has had its final answer, as long as the attempt is in
     * flight.
     */
    void cancel(CancelAttempt action) {
        Attempt attempt = inFlight.get(key(action.id(), action.attempt()));
        if (attempt != null) {
            cancel(attempt, AttemptOutcome.CANCELLED);
        }
    }

    private void cancel(Attempt attempt, AttemptOutcome outcome) {
        if (attempt.isInFlight()) {
            backend.cancel(attempt);
            ended(attempt, AttemptResult.of(outcome));
        }
    }

    /** The attempt's connection is up: whether its first byte may be written now. */
    boolean maySend(Attempt attempt) {
        SendVerdict verdict = eligibility.verdict(attempt);
        log.eligibilityChecked(attempt, verdict);
        return verdict == SendVerdict.ALLOWED;
    }

    void responseStarted(Attempt attempt) {
        attempt.cancelTimeout();
        decisions.handle(new ResponseStarted(attempt.request().arrival().id(), attempt.number()));
    }

    void progressed(Attempt attempt) {
        decisions.handle(new AttemptProgressed(attempt.request().arrival().id(), attempt.number()));
    }

    /**
     * The attempt has its outcome; the client is answered first if it was served, then the decision module is
     * notified.
     */
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
            requests.served(request, result.answer());
        }
        decisions.handle(new AttemptEnded(request.arrival().id(), attempt.number(), attempt.target().endpoint().node(),
            outcome,
            attempt.latency(), request.isFinished(), result.bodyConsumed(), result.unitsElsewhere(), result.usagePercent(),
            result.loadReport()));
    }

    private static String key(Attempt attempt) {
        return key(attempt.request().arrival().id(), attempt.number());
    }

    private static String key(String request, int attempt) {
        return request + '#' + attempt;
    }
}
