package kelphollow.lab;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Checks the volume's limit over all instances with a token bucket that starts full, refills at the limit's rate and loses
 * a token for the first attempt of each request that reaches a node. Its level must not fall further below zero than the
 * slack plus what the limit's rate refills in {@link #LATENESS_MS} and {@link Checker#TIMING_TOLERANCE_MS}.
 */
final class LimitCheck {
    private static final double LATENESS_MS = 150;
    private static final double MILLIS_PER_SECOND = 1_000;

    private double tokensPerMilli;
    private double burst;
    private double slack;
    private double tokens;
    private double lastAt;
    private final Set<String> countedRequests = new HashSet<>();

    private LimitCheck() {}

    /** Returns at most one finding: once the limit is broken, the level is no longer meaningful. */
    static List<Finding> check(List<HistoryLine> lines) {
        LimitCheck check = new LimitCheck();
        for (HistoryLine line : lines) {
            if (line.is(HistoryLine.LAB, "limit")) {
                check.setLimit(line);
            } else if (check.tokensPerMilli > 0 && line.is("attempt") && check.countedRequests.add(line.text("request"))
                && check.takeToken(line.at())) {
                return List.of(Finding.of("limit",
                    "the token bucket of the volume's limit is at " + Math.round(check.tokens * 10) / 10.0, line));
            }
        }
        return List.of();
    }

    private void setLimit(HistoryLine limit) {
        tokensPerMilli = limit.number("rate") / MILLIS_PER_SECOND;
        burst = limit.number("burst");
        tokens = burst;
        slack = limit.number("slack");
        lastAt = limit.at();
    }

    /** Takes a token; true if that breaks the limit. */
    private boolean takeToken(double at) {
        tokens = Math.min(burst, tokens + (at - lastAt) * tokensPerMilli) - 1;
        lastAt = at;
        return tokens < -slack - tokensPerMilli * (LATENESS_MS + Checker.TIMING_TOLERANCE_MS);
    }
}
