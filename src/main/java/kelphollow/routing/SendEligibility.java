package kelphollow.routing;

import java.util.function.Predicate;
import kelphollow.decision.EndpointListLease;

/**
 * The one place that says whether something may be sent to a node now, first tries and repeats alike. It is asked when the
 * module has decided to send, as a check of the module, and again when the connection is up, before the first byte: what
 * was true at the decision may have ended while the connection was dialled. Decides by facts only: the request's and the
 * attempt's state, the time, the node list with all that is laid over it, and the lease on that list.
 */
final class SendEligibility {
    private final Ticker ticker;
    private final Predicate<String> nodeWanted;
    private final EndpointListLease lease;

    /** {@code nodeWanted}: whether the list, with bans and the like laid over it, lets a node have new work. */
    SendEligibility(Ticker ticker, Predicate<String> nodeWanted, EndpointListLease lease) {
        this.ticker = ticker;
        this.nodeWanted = nodeWanted;
        this.lease = lease;
    }

    /** Whether the attempt's first byte may be written now, and if not, why. */
    SendVerdict verdict(Attempt attempt) {
        return verdict(attempt, ticker.now());
    }

    private SendVerdict verdict(Attempt attempt, double now) {
        if (!attempt.isOut()) {
            return SendVerdict.ATTEMPT_ENDED;
        }
        if (attempt.request().over) {
            return SendVerdict.REQUEST_FINISHED;
        }
        if (attempt.giveUpAt() <= now) {
            return SendVerdict.DEADLINE_EXCEEDED;
        }
        if (attempt.writeBy() > 0 && now >= attempt.writeBy()) {
            return SendVerdict.IDEMPOTENCY_WINDOW_EXPIRED;
        }
        if (!nodeWanted.test(attempt.target().endpoint().node())) {
            return SendVerdict.ENDPOINT_NOT_ELIGIBLE;
        }
        return lease.isValid(now) ? SendVerdict.ALLOWED : SendVerdict.LEASE_EXPIRED;
    }

    /** The module has decided at this time to send: it must not have decided what might not be sent then. */
    boolean confirms(Attempt attempt, double decidedAt) {
        SendVerdict verdict = verdict(attempt, decidedAt);
        boolean holds = verdict == SendVerdict.ALLOWED;
        return Invariant.holds(holds, () -> "the module sends what may not be sent: " + attempt + ", " + verdict);
    }
}
