package kelphollow.routing;

import java.util.Collection;
import java.util.logging.Logger;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.EndpointListLease;

/**
 * Tells the log what becomes of requests and attempts: counters in one line every {@link #COUNTERS_EVERY} ms while they
 * change, and single cases that should be rare at a bounded rate. Decides nothing. For the core's event loop.
 */
final class RequestLog {
    private static final Logger LOG = Logger.getLogger(RequestLog.class.getName());
    /** How often the counters are logged while they change, in milliseconds. */
    private static final double COUNTERS_EVERY = 10_000;
    /** How long past its time a request is open when it is told, and how often that is looked at, in milliseconds. */
    private static final double OVERDUE = 200;

    private final Ticker ticker;
    private final Collection<Request> open;
    private final EndpointListLease lease;
    private boolean muted;
    private final RequestCounters counters = new RequestCounters();
    private final BoundedLog withheld = new BoundedLog(LOG);
    private final BoundedLog unconfirmed = new BoundedLog(LOG);
    private final BoundedLog overdue = new BoundedLog(LOG);

    /** {@code open}: the requests that have no final answer yet, as they are at any time. */
    RequestLog(Ticker ticker, Collection<Request> open, EndpointListLease lease) {
        this.ticker = ticker;
        this.open = open;
        this.lease = lease;
    }

    /** From now on nothing is logged, as for a rehearsal. */
    void mute() {
        muted = true;
    }

    /** Starts the lines that come by time; they end with the loop. */
    void start() {
        if (muted) {
            return;
        }
        countLater(counters.summary());
        lookForOverdue();
    }

    private void countLater(String told) {
        ticker.after(COUNTERS_EVERY, () -> {
            String summary = counters.summary();
            if (!summary.equals(told)) {
                LOG.info(summary);
            }
            countLater(summary);
        });
    }

    private void lookForOverdue() {
        double now = ticker.now();
        for (Request request : open) {
            if (now > request.arrival().deadline() + OVERDUE && request.becomesOverdue()) {
                counters.overdue();
                overdue.info(now, () -> "request " + request.arrival().id() + " has no final answer "
                    + (long) (now - request.arrival().deadline()) + " ms after its time: " + request.attempts);
            }
        }
        ticker.after(OVERDUE, this::lookForOverdue);
    }

    /** All counters as one line. */
    String summary() {
        return counters.summary();
    }

    void taken() {
        counters.taken();
    }

    void served() {
        counters.served();
    }

    void clientGone() {
        counters.clientGone();
    }

    void rejected(Reason reason) {
        counters.rejected(reason);
    }

    void failed(Reason reason) {
        counters.failed(reason);
    }

    void sent(Attempt attempt) {
        if (attempt.number > 0) {
            counters.repeat();
        }
    }

    void ended(AttemptOutcome outcome) {
        counters.attemptEnded(outcome);
    }

    /** An attempt's connection is up, and this became of the question whether it may be written. */
    void looked(Attempt attempt, SendVerdict verdict) {
        if (muted) {
            return;
        }
        double now = ticker.now();
        if (verdict != SendVerdict.ALLOWED) {
            counters.notWritten(verdict);
            withheld.info(now, () -> attempt + " is not written: " + verdict + ", " + (long) (now - attempt.sentAt())
                + " ms after it was sent");
            return;
        }
        EndpointListLease.State state = lease.state(now);
        counters.written(state);
        if (state != EndpointListLease.State.CURRENT) {
            unconfirmed.info(now, () -> attempt + " is written by a list that is not confirmed: " + state);
        }
    }
}
