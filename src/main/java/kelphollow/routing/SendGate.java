package kelphollow.routing;

import java.util.function.Predicate;
import kelphollow.decision.ListLease;

/**
 * The one place that says whether something may be sent to a node now, first tries and repeats alike. It is asked when the
 * module has decided to send, as a check of the module, and again when the connection is up, before the first byte: what
 * was true at the decision may have ended while the connection was dialled. Decides by facts only: the request's and the
 * attempt's state, the time, the node list with all that is laid over it, and the lease on that list.
 */
final class SendGate {
    private final Ticker ticker;
    private final Predicate<String> nodeWanted;
    private final ListLease lease;

    /** {@code nodeWanted}: whether the list, with bans and the like laid over it, lets a node have new work. */
    SendGate(Ticker ticker, Predicate<String> nodeWanted, ListLease lease) {
        this.ticker = ticker;
        this.nodeWanted = nodeWanted;
        this.lease = lease;
    }

    /** Whether the attempt's first byte may be written now, and if not, why. */
    WriteVerdict verdict(Attempt attempt) {
        return verdict(attempt, ticker.now());
    }

    private WriteVerdict verdict(Attempt attempt, double now) {
        if (!attempt.isOut()) {
            return WriteVerdict.ATTEMPT_ENDED;
        }
        if (attempt.request().over) {
            return WriteVerdict.REQUEST_OVER;
        }
        if (attempt.giveUpAt() <= now) {
            return WriteVerdict.TIME_OVER;
        }
        if (attempt.writeBy() > 0 && now >= attempt.writeBy()) {
            return WriteVerdict.WINDOW_OVER;
        }
        if (!nodeWanted.test(attempt.member().entry().node())) {
            return WriteVerdict.NODE_UNWANTED;
        }
        return lease.isValid(now) ? WriteVerdict.ALLOWED : WriteVerdict.LIST_EXPIRED;
    }

    /** The module has decided at this time to send: it must not have decided what might not be sent then. */
    boolean confirms(Attempt attempt, double decidedAt) {
        WriteVerdict verdict = verdict(attempt, decidedAt);
        boolean holds = verdict == WriteVerdict.ALLOWED;
        return Invariant.holds(holds, () -> "the module sends what may not be sent: " + attempt + ", " + verdict);
    }
}
