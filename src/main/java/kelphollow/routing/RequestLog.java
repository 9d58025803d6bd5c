package kelphollow.routing;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.logging.Logger;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.EndpointListLease;

/**
 * Logs the outcomes of requests and attempts: the counters as one line every {@link #COUNTERS_INTERVAL_MS} while they
 * change, and single cases that should be rare at a bounded rate. Has no effect on routing. Confined to the event loop.
 */
final class RequestLog {
    private static final Logger LOG = Logger.getLogger(RequestLog.class.getName());
    /** How often the counters are logged while they change. */
    private static final double COUNTERS_INTERVAL_MS = 10_000;
    /** How long past its deadline an open request is logged as overdue, and how often open requests are inspected. */
    private static final double OVERDUE_AFTER_MS = 200;
    /** How long ago a client may have been known to be connected when an attempt is sent for it. */
    private static final double MAX_UNCONFIRMED_MS = 100;
    /** Time between the check of an attempt and its first byte from which the process was held up. */
    private static final double HELD_UP_MS = 20;

    private final Ticker ticker;
    private final Collection<Request> open;
    private final EndpointListLease lease;
    private final StallDetector stalls;
    private final IntSupplier volumes;
    private boolean disabled;
    /** Whether the limits were handed over to the next process. */
    private boolean handedOver;
    private final RequestCounters counters = new RequestCounters();
    private final Map<Reason, RateLimitedLog> rejected = new EnumMap<>(Reason.class);
    private final Map<Reason, RateLimitedLog> failed = new EnumMap<>(Reason.class);
    private final RateLimitedLog notSent = new RateLimitedLog(LOG);
    private final RateLimitedLog unconfirmed = new RateLimitedLog(LOG);
    private final RateLimitedLog overdue = new RateLimitedLog(LOG);
    private final RateLimitedLog afterHandover = new RateLimitedLog(LOG);
    private final RateLimitedLog clientUnconfirmed = new RateLimitedLog(LOG);
    private final RateLimitedLog heldUp = new RateLimitedLog(LOG);

    /**
     * Creates a log.
     *
     * @param open a view of the requests that have no final response yet
     * @param volumes how many volumes the decision module has in memory
     */
    RequestLog(Ticker ticker, Collection<Request> open, EndpointListLease lease, StallDetector stalls,
        IntSupplier volumes) {
        this.ticker = ticker;
        this.open = open;
        this.lease = lease;
        this.stalls = stalls;
        this.volumes = volumes;
    }

    /** Turns logging off, as for a warm-up. */
    void disable() {
        disabled = true;
    }

    /** Starts the periodic log lines; they end with the event loop. */
    void start() {
        if (disabled) {
            return;
        }
        scheduleCounters(counters.summary());
        inspectOverdue();
    }

    private void scheduleCounters(String logged) {
        ticker.after(COUNTERS_INTERVAL_MS, () -> {
            String summary = counters.summary();
            if (!summary.equals(logged)) {
                LOG.info(() -> summary + "; " + load());
            }
            scheduleCounters(summary);
        });
    }

    private void inspectOverdue() {
        double now = ticker.now();
        for (Request request : open) {
            double deadline = request.arrival().deadline();
            if (now > deadline + OVERDUE_AFTER_MS && request.becomesOverdue()) {
                counters.overdue();
                overdue.info(now, () -> request + " has no final response "
                    + (long) (now - deadline) + " ms after its deadline: " + request.attempts());
            }
        }
        ticker.after(OVERDUE_AFTER_MS, this::inspectOverdue);
    }

    /** All counters as one log line. */
    String summary() {
        return counters.summary() + "; " + load();
    }

    /** What the event loop is loaded with; stalls since this was logged last. */
    private String load() {
        return String.format("loop: longest stall=%.0f ms open requests=%d volumes=%d", stalls.takeLongestStall(), open
            .size(),
            volumes.getAsInt());
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

    void rejected(Request request, Reason reason) {
        counters.rejected(reason);
        logUnserved(rejected, request, "is rejected", reason);
    }

    void failed(Request request, Reason reason) {
        counters.failed(reason);
        logUnserved(failed, request, "has failed", reason);
    }

    /** Logs each reason at a rate of its own, so that the one that floods does not hide the others. */
    private void logUnserved(Map<Reason, RateLimitedLog> logs, Request request, String verdict, Reason reason) {
        if (!disabled) {
            double now = ticker.now();
            logs.computeIfAbsent(reason, r -> new RateLimitedLog(LOG)).info(now, () -> request + " " + verdict + ": "
                + reason
                + ", " + (long) (request.arrival().deadline() - now) + " ms before its deadline, attempts "
                + request.attempts());
        }
    }

    void attemptStarted(Attempt attempt) {
        if (attempt.number() > 0) {
            counters.retry();
        }
    }

    void attemptEnded(AttemptOutcome outcome) {
        counters.attemptEnded(outcome);
    }

    /** The limits were handed over to the next process; attempts sent from now on are logged and counted apart. */
    void limitsHandedOver() {
        handedOver = true;
    }

    /** Logs the verdict on the first byte of an attempt whose connection is established. */
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
        logUnconfirmedClient(attempt, now);
        EndpointListLease.State state = lease.state(now);
        counters.sent(state);
        if (handedOver) {
            counters.sentAfterHandover();
            afterHandover.info(now, () -> attempt + " of volume " + attempt.request().arrival().volume() + ", "
                + attempt.request().arrival().units() + " units, is sent after the limits were handed over");
        }
        if (state != EndpointListLease.State.CURRENT) {
            unconfirmed.info(now, () -> attempt + " is sent with an unconfirmed endpoint list: " + state);
        }
    }

    /** Logs a process that was held up between the check of an attempt and its first byte. */
    void firstByteWritten(Attempt attempt, double afterCheck) {
        if (afterCheck > HELD_UP_MS && !disabled) {
            counters.sentAfterHoldUp();
            heldUp.info(ticker.now(), () -> attempt + " was written " + (long) afterCheck + " ms after its check");
        }
    }

    private void logUnconfirmedClient(Attempt attempt, double now) {
        double unconfirmedMs = now - attempt.request().callback().clientConnectedAsOf();
        if (unconfirmedMs > MAX_UNCONFIRMED_MS) {
            counters.sentForUnconfirmedClient();
            clientUnconfirmed.info(now, () -> attempt + " is sent " + (long) unconfirmedMs
                + " ms after its client was last known to be connected");
        }
    }
}
