package kelphollow.routing;

import java.util.Map;
import kelphollow.decision.ControlApi.Outcome;

/**
 * How an attempt ended, with what the node told of itself. {@code spent}: the request's body is used up, so that it
 * cannot be sent again; {@code usePercent} is negative when not told.
 */
public record Result(Outcome outcome, Object answer, boolean spent, double elsewhere, double usePercent, Map<String, Double> report) {
    public static Result of(Outcome outcome) {
        return of(outcome, null, false);
    }

    public static Result of(Outcome outcome, Object answer, boolean spent) {
        return new Result(outcome, answer, spent, 0, -1, Map.of());
    }
}
