package kelphollow.lab;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Judges the volume's limit over all instances: a token bucket that is full at first, filled at the limit's rate and
 * drawn by the first attempt of each request as nodes see it, never further below zero than the slack, what 150 ms allow
 * included.
 */
final class LimitCheck {
    private static final double LATENESS_MS = 150;
    private static final double MILLIS_PER_SECOND = 1_000;

    private double tokensPerMilli;
    private double burst;
    private double slack;
    private double tokens;
    private double lastAt;
    private final Set<String> drawn = new HashSet<>();

    private LimitCheck() {}

    /** At most one finding: after the first the level says nothing more. */
    static List<Finding> check(List<HistoryLine> lines) {
        LimitCheck check = new LimitCheck();
        for (HistoryLine line : lines) {
            if (line.is(HistoryLine.LAB, "limit")) {
                check.set(line);
            } else if (check.tokensPerMilli > 0 && line.is("attempt") && check.drawn.add(line.text("request"))
                && check.draw(line.at())) {
                return List.of(Finding.of("limit",
                    "the volume's store is at " + Math.round(check.tokens * 10) / 10.0, line));
            }
        }
        return List.of();
    }

    private void set(HistoryLine limit) {
        tokensPerMilli = limit.number("rate") / MILLIS_PER_SECOND;
        burst = limit.number("burst");
        tokens = burst;
        slack = limit.number("slack");
        lastAt = limit.at();
    }

    /** Draws a token; true if that breaks the limit. */
    private boolean draw(double at) {
        tokens = Math.min(burst, tokens + (at - lastAt) * tokensPerMilli) - 1;
        lastAt = at;
        return tokens < -slack - tokensPerMilli * (LATENESS_MS + Checker.SLACK);
    }
}
