package kelphollow.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Judges a history by itself: it knows nothing of the run but what is in it, and nothing of the program. Each finding names
 * its check and the lines that prove it.
 */
final class Checker {
    /** Time between the control plane's writing and the history's line, scheduling on a busy machine included, in ms. */
    static final double SLACK = 100;

    private Checker() {}

    /** All breaches in the history; empty when it passes. */
    static List<Finding> check(List<Map<String, Object>> history) {
        List<HistoryLine> lines = HistoryLine.of(history);
        Absences away = Absences.of(lines, true);
        List<Finding> findings = new ArrayList<>();
        findings.addAll(RunChecks.check(lines));
        findings.addAll(RequestChecks.check(lines, away));
        findings.addAll(DrainChecks.check(lines));
        findings.addAll(LimitCheck.check(lines));
        findings.addAll(OverloadChecks.check(lines, away));
        findings.addAll(MembershipChecks.check(lines));
        return findings;
    }
}
