package kelphollow.routing;

import java.util.Map;
import kelphollow.decision.ControlEvent.AttemptOutcome;

/**
 * How an attempt ended, with the node's load report.
 *
 * @param outcome how it ended
 * @param answer what the backend made of the node's answer, for the front of the same protocol; may be null
 * @param bodyConsumed whether the request's body is used up, so that it cannot be sent again
 * @param unitsElsewhere units that the node has served for the volume through other instances since its last answer
 * @param usagePercent use of the volume over all instances in percent of its plan's rate; negative when not reported
 * @param loadReport the node's figures by the names that the settings give them; empty when not reported
 */
public record AttemptResult(AttemptOutcome outcome, Object answer, boolean bodyConsumed, double unitsElsewhere,
                            double usagePercent, Map<String, Double> loadReport) {
    private static final double NOT_REPORTED = -1;

    /** A result without an answer or a load report; the body may be sent again. */
    public static AttemptResult of(AttemptOutcome outcome) {
        return of(outcome, null, false);
    }

    /** A result without a load report. */
    public static AttemptResult of(AttemptOutcome outcome, Object answer, boolean bodyConsumed) {
        return new AttemptResult(outcome, answer, bodyConsumed, 0, NOT_REPORTED, Map.of());
    }
}
