package kelphollow.routing;

import java.util.Collection;
import java.util.logging.Logger;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.EndpointListLease;

/**
 * Logs what becomes of requests and attempts: the counters as one line every {@link #COUNTERS_INTERVAL} ms while they
 * change, and single cases that should be rare at a bounded rate. Decides nothing. Confined to the event loop.
 */
final class RequestLog {
    private static final Logger LOG = Logger.getLogger(RequestLog.class.getName());
    /** How often the counters are logged while they change, in milliseconds. */
    private static final double COUNTERS_INTERVAL = 10_000;
    /** How long past its deadline an open request is logged, and how often they are inspected, in milliseconds. */
    private static final double OVERDUE = 200;

    private final Ticker ticker;
    private final Collection<Request> open;
    private final EndpointListLease lease;
    private boolean disabled;
    private final RequestCounters counters = new RequestCounters();
    private final BoundedLog notSent = new BoundedLog(LOG);
    private final BoundedLog unconfirmed = new BoundedLog(LOG);
    private final BoundedLog overdue = new BoundedLog(LOG);

    /** {@code open}: a view of the requests that have no final answer yet. */
    RequestLog(Ticker ticker, Collection<Request> open, EndpointListLease lease) {
        this.ticker = ticker;
        this.open = open;
        this.lease = lease;
    }

    /** From now on nothing is logged, as for a warm-up. */
    void disable() {
        disabled = true;
    }

    /** Starts the lines that are logged by time; they end with the loop. */
    void start() {
        if (disabled) {
            return;
        }
        scheduleCounters(counters.summary());
        inspectOverdue();
    }

    private void scheduleCounters(String logged) {
        ticker.after(COUNTERS_INTERVAL, () -> {
            String summary = counters.summary();
            if (!summary.equals(logged)) {
                LOG.info(summary);
            }
            scheduleCounters(summary);
        });
    }

    private void inspectOverdue() {
        double now = ticker.now();
        for (Request request : open) {
            double deadline = request.arrival().deadline();
            if (now > deadline + OVERDUE && request.becomesOverdue()) {
                counters.overdue();
                overdue.info(now, () -> "request " + request.arrival().id() + " has no final answer "
                    + (long) (now - deadline) + " ms after its deadline: " + request.attempts());
            }
        }
        ticker.after(OVERDUE, this::inspectOverdue);
    }

    /** All counters as one line. */
    String summary() {
        return counters.summary();
    }

    void submitted() {
        counters.submitted();
    }

    void served() {
        counters.served();
    }

    void clientDisconnected() {
        counters.clientDisconnected();
    }

    void rejected(Reason reason) {
        counters.rejected(reason);
    }

    void failed(Reason reason) {
        counters.failed(reason);
    }

    void attemptStarted(Attempt attempt) {
        if (attempt.number() > 0) {
            counters.retry();
        }
    }

    void attemptEnded(AttemptOutcome outcome) {
        counters.attemptEnded(outcome);
    }

    /** An attempt's connection is up, and this is the verdict on its first byte. */
    void eligibilityChecked(Attempt attempt, SendVerdict verdict) {
        if (disabled) {
            return;
        }
        double now = ticker.now();
        if (verdict != SendVerdict.ALLOWED) {
            counters.notSent(verdict);
            notSent.info(now, () -> attempt + " is not sent: " + verdict + ", " + (long) (now - attempt.sentAt())
                + " ms after the decision");
            return;
        }
        EndpointListLease.State state = lease.state(now);
        counters.sent(state);
        if (state != EndpointListLease.State.CURRENT) {
            unconfirmed.info(now, () -> attempt + " is sent by an unconfirmed endpoint list: " + state);
        }
    }
}
