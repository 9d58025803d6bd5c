package kelphollow.routing;

import java.util.Map;
import kelphollow.decision.ControlApi.Outcome;

/** How an attempt ended, with what the node told of itself. {@code usePercent} is negative when not told. */
public record Result(Outcome outcome, Object answer, double elsewhere, double usePercent, Map<String, Double> report) {
    public static Result of(Outcome outcome) {
        return new Result(outcome, null, 0, -1, Map.of());
    }
}
