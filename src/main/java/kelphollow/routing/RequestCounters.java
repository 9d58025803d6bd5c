package kelphollow.routing;

import java.util.EnumMap;
import java.util.Map;
import kelphollow.decision.ControlApi.Outcome;
import kelphollow.decision.ControlApi.Reason;
import kelphollow.decision.ListLease;

/**
 * What became of requests and attempts since the start, by reason, for the log. Constant memory; for the core's event
 * loop.
 */
final class RequestCounters {
    private long taken;
    private long served;
    private long clientsGone;
    private long repeats;
    private long overdue;
    private final Map<Reason, Long> refused = new EnumMap<>(Reason.class);
    private final Map<Reason, Long> failed = new EnumMap<>(Reason.class);
    private final Map<Outcome, Long> attempts = new EnumMap<>(Outcome.class);
    private final Map<WriteVerdict, Long> notWritten = new EnumMap<>(WriteVerdict.class);
    /** Attempts written, by what the lease on the list rested on. */
    private final Map<ListLease.State, Long> written = new EnumMap<>(ListLease.State.class);

    void taken() {
        taken++;
    }

    void served() {
        served++;
    }

    void overdue() {
        overdue++;
    }

    void clientGone() {
        clientsGone++;
    }

    void repeat() {
        repeats++;
    }

    void refused(Reason reason) {
        refused.merge(reason, 1L, Long::sum);
    }

    void failed(Reason reason) {
        failed.merge(reason, 1L, Long::sum);
    }

    void attemptEnded(Outcome outcome) {
        attempts.merge(outcome, 1L, Long::sum);
    }

    void notWritten(WriteVerdict verdict) {
        notWritten.merge(verdict, 1L, Long::sum);
    }

    void written(ListLease.State state) {
        written.merge(state, 1L, Long::sum);
    }

    /** One line with all that is not zero. */
    String summary() {
        return "requests: taken=" + taken + " served=" + served + " clients gone=" + clientsGone + " overdue=" + overdue
            + " refused=" + refused
            + " failed=" + failed + "; attempts: ended=" + attempts + " repeats=" + repeats + " not written=" + notWritten
            + " written=" + written;
    }
}
