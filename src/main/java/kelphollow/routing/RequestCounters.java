package kelphollow.routing;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;
import kelphollow.decision.ControlApi.Outcome;
import kelphollow.decision.ControlApi.Reason;

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
    /** Attempts written, by the age of the list that they were sent by; see {@link ListAge}. */
    private final long[] written = new long[ListAge.values().length];

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

    void written(ListAge age) {
        written[age.ordinal()]++;
    }

    long writtenBy(ListAge age) {
        return written[age.ordinal()];
    }

    /** One line with all that is not zero. */
    String summary() {
        String byAge = Arrays.stream(ListAge.values()).filter(age -> written[age.ordinal()] > 0)
            .map(age -> age + "=" + written[age.ordinal()]).collect(Collectors.joining(" "));
        return "requests: taken=" + taken + " served=" + served + " clients gone=" + clientsGone + " overdue=" + overdue
            + " refused=" + refused
            + " failed=" + failed + "; attempts: ended=" + attempts + " repeats=" + repeats + " not written=" + notWritten
            + " written by age of list: " + byAge;
    }
}
