package kelphollow.routing;

import java.util.EnumMap;
import java.util.Map;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.EndpointListLease;

/**
 * Counts the outcomes of requests and attempts since the start, by reason. Constant memory; confined to the event loop.
 */
final class RequestCounters {
    private long submitted;
    private long served;
    private long clientsDisconnected;
    private long retries;
    private long overdue;
    private final Map<Reason, Long> rejected = new EnumMap<>(Reason.class);
    private final Map<Reason, Long> failed = new EnumMap<>(Reason.class);
    private final Map<AttemptOutcome, Long> attempts = new EnumMap<>(AttemptOutcome.class);
    private final Map<SendVerdict, Long> notSent = new EnumMap<>(SendVerdict.class);
    /** Attempts sent, by the state of the lease on the endpoint list. */
    private final Map<EndpointListLease.State, Long> sent = new EnumMap<>(EndpointListLease.State.class);
    /** Of the attempts sent, those sent after the limits were handed over to the next process. */
    private long sentAfterHandover;
    /** Of the attempts sent, those whose client was not known to be connected at the time. */
    private long sentForUnconfirmedClient;
    /** Of the attempts sent, those whose first byte was written late after their check. */
    private long sentAfterHoldUp;

    void submitted() {
        submitted++;
    }

    void served() {
        served++;
    }

    void overdue() {
        overdue++;
    }

    void clientDisconnected() {
        clientsDisconnected++;
    }

    void retry() {
        retries++;
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

    void notSent(SendVerdict verdict) {
        notSent.merge(verdict, 1L, Long::sum);
    }

    void sent(EndpointListLease.State state) {
        sent.merge(state, 1L, Long::sum);
    }

    void sentAfterHandover() {
        sentAfterHandover++;
    }

    void sentForUnconfirmedClient() {
        sentForUnconfirmedClient++;
    }

    void sentAfterHoldUp() {
        sentAfterHoldUp++;
    }

    /** All counters as one log line. */
    String summary() {
        return "requests: submitted=" + submitted + " served=" + served + " disconnected=" + clientsDisconnected
            + " overdue=" + overdue + " rejected=" + rejected + " failed=" + failed + "; attempts: ended=" + attempts
            + " retries=" + retries + " not sent=" + notSent + " sent=" + sent + " after handover=" + sentAfterHandover
            + " client unconfirmed=" + sentForUnconfirmedClient
            + " held up=" + sentAfterHoldUp;
    }
}
