package kelphollow.routing;

import java.util.function.Predicate;
import kelphollow.decision.EndpointListLease;

/**
 * The one place that says whether something may be sent to a node, first attempts and retries alike. It is asked when the
 * decision module has decided to send, as a check of the module, and again when the connection is up, before the
 * first byte: what was true at the decision may have ended while the connection was being established. It goes by
 * facts only: the state of the request and of the attempt, the time, the endpoint list with its overrides, and the
 * lease on that list. Confined to the event loop.
 */
final class SendEligibility {
    private final Ticker ticker;
    private final Predicate<String> acceptsWork;
    private final EndpointListLease lease;

    /** {@code acceptsWork}: whether new requests may go to a node by the endpoint list and its overrides. */
    SendEligibility(Ticker ticker, Predicate<String> acceptsWork, EndpointListLease lease) {
        this.ticker = ticker;
        this.acceptsWork = acceptsWork;
        this.lease = lease;
    }

    /** Whether the attempt's first byte may be written now, and if not, why. */
    SendVerdict verdict(Attempt attempt) {
        return verdict(attempt, ticker.now());
    }

    private SendVerdict verdict(Attempt attempt, double now) {
        if (!attempt.isInFlight()) {
            return SendVerdict.ATTEMPT_ENDED;
        }
        if (attempt.request().isFinished()) {
            return SendVerdict.REQUEST_FINISHED;
        }
        if (attempt.timeoutAt() <= now) {
            return SendVerdict.DEADLINE_EXCEEDED;
        }
        if (attempt.writeBy() > 0 && now >= attempt.writeBy()) {
            return SendVerdict.IDEMPOTENCY_WINDOW_EXPIRED;
        }
        if (!acceptsWork.test(attempt.target().endpoint().node())) {
            return SendVerdict.ENDPOINT_NOT_ELIGIBLE;
        }
        return lease.isValid(now) ? SendVerdict.ALLOWED : SendVerdict.LEASE_EXPIRED;
    }

    /** The decision module has decided at this time to send: an invariant is broken if that was not allowed then. */
    void checkDecision(Attempt attempt, double decidedAt) {
        SendVerdict verdict = verdict(attempt, decidedAt);
        Invariant.holds(verdict == SendVerdict.ALLOWED,
            () -> "the module sends what may not be sent: " + attempt + ", " + verdict);
    }
}
