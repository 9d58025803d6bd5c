package kelphollow.lab;

import java.util.ArrayList;
import java.util.List;

/** Checks the run itself: steps that timed out, processes that crashed or exited with an error after SIGTERM. */
final class RunChecks {
    private RunChecks() {}

    static List<Finding> check(List<HistoryLine> lines) {
        List<Finding> findings = new ArrayList<>();
        for (HistoryLine line : lines) {
            if (line.is(HistoryLine.LAB, "missed")) {
                findings.add(Finding.of("steps", "step " + line.text("step") + " timed out waiting for its condition",
                    line));
            } else if (line.is("crashed")) {
                findings.add(Finding.of("crash", line.party() + " exited by itself with code " + line.text("code"), line));
            } else if (line.is(HistoryLine.LAB, "ended") && line.integer("code") != 0) {
                findings.add(Finding.of("leave", line.text("instance") + " exited after SIGTERM with code "
                    + line.text("code"), line));
            }
        }
        return findings;
    }
}
