package kelphollow.routing;

import java.util.function.Predicate;
import kelphollow.decision.EndpointListLease;

/**
 * The only check whether an attempt may be sent to a node, for first attempts and retries alike. It runs when the decision
 * module has decided to send, to verify the module, and again when the connection is established, before the first byte:
 * what held at the decision may have ended while the connection was being established. It depends only on the state of
 * the request and of the attempt, the time, the endpoint list with its overrides, the lease on that list, and whether the
 * client is still connected. Confined to the event loop.
 */
final class SendEligibility {
    /** How long ago a client may have been known to be connected. An attempt may begin up to 100 ms after its close. */
    private static final double MAX_UNCONFIRMED_MS = 50;

    private final Ticker ticker;
    private final Predicate<String> acceptsRequests;
    private final EndpointListLease lease;

    /** {@code acceptsRequests}: whether the endpoint list and its overrides allow new requests to a node. */
    SendEligibility(Ticker ticker, Predicate<String> acceptsRequests, EndpointListLease lease) {
        this.ticker = ticker;
        this.acceptsRequests = acceptsRequests;
        this.lease = lease;
    }

    /** Whether the attempt's first byte may be written now, and if not, why. */
    SendVerdict verdict(Attempt attempt) {
        SendVerdict verdict = verdict(attempt, ticker.now());
        return verdict == SendVerdict.ALLOWED ? clientVerdict(attempt) : verdict;
    }

    /** Whether a connection may be acquired for the attempt: its client must be known to be still connected. */
    SendVerdict verdictBeforeConnecting(Attempt attempt) {
        return clientVerdict(attempt);
    }

    private SendVerdict clientVerdict(Attempt attempt) {
        double connectedAsOf = attempt.request().callback().clientConnectedAsOf();
        return ticker.now() - connectedAsOf <= MAX_UNCONFIRMED_MS ? SendVerdict.ALLOWED : SendVerdict.CLIENT_UNCONFIRMED;
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
        if (!acceptsRequests.test(attempt.target().endpoint().node())) {
            return SendVerdict.ENDPOINT_NOT_ELIGIBLE;
        }
        return lease.isValid(now) ? SendVerdict.ALLOWED : SendVerdict.LEASE_EXPIRED;
    }

    /** Reports a broken invariant if the attempt was not allowed when the decision module decided to send it. */
    void checkDecision(Attempt attempt, double decidedAt) {
        SendVerdict verdict = verdict(attempt, decidedAt);
        Invariant.holds(verdict == SendVerdict.ALLOWED,
            () -> "decision module sent an attempt that may not be sent: " + attempt + ", " + verdict);
    }
}
