package kelphollow.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Runs all checks on a history. It uses nothing but the history: neither the state of the run nor the program's code. Each
 * finding names its check and the lines that prove it.
 */
final class Checker {
    /** Allowance for the delay from an event to its line in the history, including scheduling on a busy machine. */
    static final double TIMING_TOLERANCE_MS = 100;

    private Checker() {}

    /** Returns all violations in the history; empty if it passes. */
    static List<Finding> check(List<Map<String, Object>> history) {
        List<HistoryLine> lines = HistoryLine.of(history);
        Unavailability unavailability = Unavailability.of(lines, true);
        List<Finding> findings = new ArrayList<>();
        findings.addAll(RunChecks.check(lines));
        findings.addAll(RequestChecks.check(lines, unavailability));
        findings.addAll(DrainChecks.check(lines));
        findings.addAll(LimitCheck.check(lines));
        findings.addAll(OverloadChecks.check(lines, unavailability));
        findings.addAll(MembershipChecks.check(lines));
        return findings;
    }
}
