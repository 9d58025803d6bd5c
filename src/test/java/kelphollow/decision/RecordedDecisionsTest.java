package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.ControlSettings.Rules;
import org.junit.jupiter.api.Test;

/**
 * Compares the module's decisions with recorded ones: every bit of each number and the order of the random draws must match,
 * on every processor, so the module and the workload use {@link StrictMath}. A change that is meant to keep behaviour must
 * not update the recordings. To locate a difference, compare the traces that the two builds write to
 * {@code target/decisions}.
 */
class RecordedDecisionsTest {
    private static final Path RECORDINGS = Path.of("src/test/resources/decisions");
    private static final Path TRACES = Path.of("target/decisions");
    private static final int MIN_EVENTS = 10_000;

    /** A polled endpoint list, classes that are idempotent or may not be retried, and no marked retries. */
    private static ControlSettings polled() {
        return new ControlSettings(2, 4, "hall-a", 2, 3, 4_000, true, true, 1_000, 2.4, 0.35, 0.05,
            List.of(new RequestClass("read", 250, 1_200, 2, 0.2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false,
                false),
                new RequestClass("ingest", 500, 3_000, 2, 0.1, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.CELL, 0, false,
                    false),
                new RequestClass("export", 1_500, 5_000, 1, 0.3, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false,
                    true)),
            List.of(new Plan("basic", 60, 10, 1, 1, 30, 40, 8), new Plan("standard", 90, 30, 2, 1.5, 0, 0, 0),
                new Plan("priority", 120, 60, 3, 2, 200, 240, 20)),
            new Rules(250, 0.25, 12_000, 2, 1_000, 8, 0, 3, 0.15, 4_000, 2_500));
    }

    /** A pushed endpoint list, classes with idempotency keys of each scope and with ordered keys, and marked retries. */
    private static ControlSettings pushed() {
        return new ControlSettings(0, 3, "hall-b", 2, 4, 4_000, true, false, 500, 2.1, 0.35, 0.08,
            List.of(new RequestClass("lookup", 400, 2_500, 2, 0.2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false,
                false),
                new RequestClass("submit", 500, 2_500, 2, 0.15, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 4_000,
                    false, false),
                new RequestClass("transfer", 450, 2_000, 3, 0.1, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 1_500,
                    true, false),
                new RequestClass("notify", 300, 1_500, 1, 0.1, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL, 2_000,
                    false, false),
                new RequestClass("append", 500, 2_500, 2, 0.1, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.CELL, 0, true,
                    true)),
            List.of(new Plan("basic", 80, 0, 1, 1, 0, 0, 0), new Plan("standard", 110, 40, 2, 1.4, 90, 100, 12)),
            new Rules(500, 0.3, 9_000, 4, 1_000, 10, 200, 5, 0.25, 3_000, 0));
    }

    @Test void decisionsWithAPolledListAreThoseRecorded() throws IOException {
        assertRecorded("polled", polled(), 11, 100);
    }

    @Test void decisionsWithAPolledListUnderOverloadAreThoseRecorded() throws IOException {
        assertRecorded("polled-overload", polled(), 12, 190);
    }

    @Test void decisionsWithAPushedListAreThoseRecorded() throws IOException {
        assertRecorded("pushed", pushed(), 21, 90);
    }

    @Test void decisionsWithAPushedListUnderOverloadAreThoseRecorded() throws IOException {
        assertRecorded("pushed-overload", pushed(), 22, 170);
    }

    private static void assertRecorded(String name, ControlSettings settings, long seed, double arrivalsPerSecond)
        throws IOException {
        DecisionWorkload workload = new DecisionWorkload(settings, seed, arrivalsPerSecond);
        DecisionRecorder recorder = workload.run();
        Files.createDirectories(TRACES);
        Files.writeString(TRACES.resolve(name + ".trace"), recorder.trace());
        Files.write(TRACES.resolve(name + ".txt"), recorder.checkpoints());

        assertTrue(recorder.events() >= MIN_EVENTS, "events: " + recorder.events());
        Set<String> kinds = workload.kinds();
        for (String kind : List.of("arrival", "retry", "disconnect", "send", "cancel", "reload", "shutdown", "lease",
            "suspected", "moved", "retry-budget", "limits", "complete-list", "changed-list", "cached-list")) {
            assertTrue(kinds.contains(kind), kind + " did not occur");
        }
        List<String> recorded = Files.readAllLines(RECORDINGS.resolve(name + ".txt"));
        assertEquals(recorded, recorder.checkpoints(), "the first difference is in the traces in " + TRACES);
    }
}
