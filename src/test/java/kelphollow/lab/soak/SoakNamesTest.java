package kelphollow.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import kelphollow.names.RecordedNames;
import org.junit.jupiter.api.Test;

/** The soak's report names its plan, and its seeds go on to mean the faults that they meant. */
class SoakNamesTest {
    private static final double SECONDS = 20;
    private static final int INSTANCES = 10;
    private static final int NODES = 8;

    @Test void theReportNamesThePlanAsRecorded() throws Exception {
        assertEquals(RecordedNames.lines("soak-plan.txt"), List.of(new Soak.Plan(1, 2, 3, 4, true).toString()));
    }

    @Test void aBrokenRuleIsReportedAsRecorded() {
        assertEquals("lost at 12 ms: q1 had no answer", new SoakChecker.Breach("lost", 12, "q1 had no answer").toString());
    }

    /** What a fault meets is drawn by whether it is one of a node, so a change of its name alone could change a draw. */
    @Test void seedsDrawTheRecordedFaults() throws Exception {
        List<String> drawn = Stream.of(false, true)
            .flatMap(pushed -> SoakFaults.draw(1, SECONDS, INSTANCES, NODES, pushed).stream())
            .map(step -> String.format(Locale.ROOT, "%.3f %d %.3f", step.at(), step.target(), step.lasts())).toList();
        assertEquals(RecordedNames.lines("soak-draws.txt"), drawn);
    }
}
