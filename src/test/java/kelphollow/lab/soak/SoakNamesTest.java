package kelphollow.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import kelphollow.names.RecordedNames;
import org.junit.jupiter.api.Test;

/** Guards the form of the soak's report and the faults that each seed draws against unintended changes. */
class SoakNamesTest {
    private static final double SECONDS = 20;
    private static final int INSTANCES = 10;
    private static final int NODES = 8;

    @Test void reportPrintsThePlanAsRecorded() throws Exception {
        assertEquals(RecordedNames.lines("soak-plan.txt"), List.of(new Soak.Plan(1, 2, 3, 4, true).toString()));
    }

    @Test void breachIsPrintedAsRecorded() {
        assertEquals("lost at 12 ms: q1 had no answer", new SoakChecker.Breach("lost", 12, "q1 had no answer").toString());
    }

    /** The target of a fault is drawn by whether its kind applies to nodes, so even a renamed kind could change a draw. */
    @Test void seedsDrawTheRecordedFaults() throws Exception {
        List<String> drawn = Stream.of(false, true)
            .flatMap(pushed -> SoakFaults.draw(1, SECONDS, INSTANCES, NODES, pushed).stream())
            .map(step -> String.format(Locale.ROOT, "%.3f %d %.3f", step.at(), step.target(), step.duration())).toList();
        assertEquals(RecordedNames.lines("soak-draws.txt"), drawn);
    }
}
