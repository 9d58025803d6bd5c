package kelphollow.lab;

import java.util.ArrayList;
import java.util.List;

/** Judges the run itself: steps that waited in vain, processes that ended by themselves or in disorder. */
final class RunChecks {
    private RunChecks() {}

    static List<Finding> check(List<HistoryLine> lines) {
        List<Finding> findings = new ArrayList<>();
        for (HistoryLine line : lines) {
            if (line.is(HistoryLine.LAB, "missed")) {
                findings.add(Finding.of("steps", "step " + line.text("step") + " waited in vain", line));
            } else if (line.is("crashed")) {
                findings.add(Finding.of("crash", line.party() + " ended by itself with code " + line.text("code"), line));
            } else if (line.is(HistoryLine.LAB, "ended") && line.integer("code") != 0) {
                findings.add(Finding.of("leave", line.text("instance") + " left with code " + line.text("code"), line));
            }
        }
        return findings;
    }
}
