package kelphollow.routing;

import java.util.EnumMap;
import java.util.Map;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.EndpointListLease;

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
    private final Map<Reason, Long> rejected = new EnumMap<>(Reason.class);
    private final Map<Reason, Long> failed = new EnumMap<>(Reason.class);
    private final Map<AttemptOutcome, Long> attempts = new EnumMap<>(AttemptOutcome.class);
    private final Map<SendVerdict, Long> notWritten = new EnumMap<>(SendVerdict.class);
    /** Attempts written, by what the lease on the list rested on. */
    private final Map<EndpointListLease.State, Long> written = new EnumMap<>(EndpointListLease.State.class);

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

    void rejected(Reason reason) {
        rejected.merge(reason, 1L, Long::sum);
    }

    void failed(Reason reason) {
        failed.merge(reason, 1L, Long::sum);
    }

    void attemptEnded(AttemptOutcome outcome) {
        attempts.merge(outcome, 1L, Long::sum);
    }

    void notWritten(SendVerdict verdict) {
        notWritten.merge(verdict, 1L, Long::sum);
    }

    void written(EndpointListLease.State state) {
        written.merge(state, 1L, Long::sum);
    }

    /** One line with all that is not zero. */
    String summary() {
        return "requests: taken=" + taken + " served=" + served + " clients gone=" + clientsGone + " overdue=" + overdue
            + " refused=" + rejected
            + " failed=" + failed + "; attempts: ended=" + attempts + " repeats=" + repeats + " not written=" + notWritten
            + " written=" + written;
    }
}
