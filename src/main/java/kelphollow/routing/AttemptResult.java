package kelphollow.routing;

import java.util.Map;
import kelphollow.decision.ControlEvent.AttemptOutcome;

/**
 * How an attempt ended, with what the node reports of itself. {@code bodyConsumed}: the request's body is used up, so that it
 * cannot be sent again; {@code usagePercent} is negative when not reported.
 */
public record AttemptResult(AttemptOutcome outcome, Object answer, boolean bodyConsumed, double unitsElsewhere,
                            double usagePercent, Map<String, Double> loadReport) {
    public static AttemptResult of(AttemptOutcome outcome) {
        return of(outcome, null, false);
    }

    public static AttemptResult of(AttemptOutcome outcome, Object answer, boolean bodyConsumed) {
        return new AttemptResult(outcome, answer, bodyConsumed, 0, -1, Map.of());
    }
}
