package kelphollow.routing;

import java.util.Map;
import kelphollow.decision.ControlEvent.AttemptOutcome;

/**
 * How an attempt ended, with the node's load report.
 *
 * @param outcome how it ended
 * @param response the node's response in the form that the front of the same protocol expects; may be null
 * @param bodyConsumed whether the request's body has been consumed, so that it cannot be sent again
 * @param unitsElsewhere units that the node has served for the volume through other instances since its last response
 * @param usagePercent usage of the volume over all instances in percent of its plan's rate; negative if not reported
 * @param loadReport the node's load metrics by the names that the settings give them; empty if not reported
 */
public record AttemptResult(AttemptOutcome outcome, Object response, boolean bodyConsumed, double unitsElsewhere,
                            double usagePercent, Map<String, Double> loadReport) {
    private static final double NOT_REPORTED = -1;

    /** A result without a response or a load report; the body may be sent again. */
    public static AttemptResult of(AttemptOutcome outcome) {
        return of(outcome, null, false);
    }

    /** A result without a load report. */
    public static AttemptResult of(AttemptOutcome outcome, Object response, boolean bodyConsumed) {
        return new AttemptResult(outcome, response, bodyConsumed, 0, NOT_REPORTED, Map.of());
    }
}
