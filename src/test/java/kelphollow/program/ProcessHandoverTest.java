package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The old and the new process of an upgrade, simulated in one test with a shared folder. */
@Timeout(20)
class ProcessHandoverTest {
    private static final long OLD_PID = 100;
    private static final long NEXT_PID = 200;
    private static final long THIRD_PID = 300;
    private static final long LAST_PID = 400;
    @TempDir
    Path folder;

    private ProcessHandover process(long pid) {
        return new ProcessHandover(folder, pid);
    }

    @Test void theNextProcessFindsTheOldOneAndTakesOverItsTokens() throws Exception {
        ProcessHandover old = process(OLD_PID);
        ProcessHandover next = process(NEXT_PID);

        old.showAlive();
        assertEquals(OLD_PID, next.predecessor(), "the old process has a fresh alive file");
        assertEquals(-1, old.predecessor(), "the old process sees no other");

        old.handOver(Map.of("v1", 3.5, "v2", 0.0));
        assertEquals(Optional.of(Map.of("v1", 3.5, "v2", 0.0)), next.await(OLD_PID, 5_000));
    }

    @Test void aProcessWithAStaleAliveFileIsNotWaitedFor() throws Exception {
        ProcessHandover next = process(NEXT_PID);
        Path alive = Files.writeString(folder.resolve("kelphollow-alive-" + OLD_PID), "");   // of an earlier release
        Files.setLastModifiedTime(alive, FileTime.fromMillis(System.currentTimeMillis() - 5_000));

        assertEquals(-1, next.predecessor(), "the alive file is stale");
        assertEquals(Optional.empty(), next.await(OLD_PID, 5_000), "no handover, and no wait for one");
    }

    @Test void aTruncatedHandoverIsNotUsed() throws Exception {
        ProcessHandover next = process(NEXT_PID);
        process(OLD_PID).showAlive();
        Files.writeString(folder.resolve("kelphollow-handover-" + OLD_PID), "v1 3.5\n");

        assertEquals(Optional.empty(), next.await(OLD_PID, 100), "truncated: waits until the timeout");
    }

    /** Guards against a new process that waits for one that has ended, while clients are not accepted. */
    @Test void anEndedProcessWhoseHandoverIsTruncatedIsNotWaitedFor() throws Exception {
        Files.writeString(folder.resolve("kelphollow-lock-" + OLD_PID), "");            // nobody holds the lock
        Files.writeString(folder.resolve("kelphollow-handover-" + OLD_PID), "v1 3.5\n");

        assertEquals(Optional.empty(), process(NEXT_PID).await(OLD_PID, 60_000));
    }

    /** Guards against a new process that waits for a hand-over to become readable, while clients are not accepted. */
    @Test void aCompleteHandoverThatCannotBeParsedIsNotWaitedFor() throws Exception {
        process(OLD_PID).showAlive();
        Files.writeString(folder.resolve("kelphollow-handover-" + OLD_PID), "a line\nbreak 3.5\nend\n");

        assertEquals(Optional.empty(), process(NEXT_PID).await(OLD_PID, 60_000));
        assertEquals(-1, process(THIRD_PID).predecessor(), "it is taken over");
    }

    /** Guards against a hand-over that cannot be written, since a client chose such a name. */
    @Test void namesOfVolumesInAnyScriptAreHandedOver() throws Exception {
        process(OLD_PID).handOver(Map.of("volume \u00e9", 3.5));

        assertEquals(Optional.of(Map.of("volume \u00e9", 3.5)), process(NEXT_PID).await(OLD_PID, 100));
    }

    @Test void anEmptyHandoverIsNoMissingOne() throws Exception {
        process(OLD_PID).showAlive();
        process(OLD_PID).handOver(Map.of());

        assertEquals(Optional.of(Map.of()), process(NEXT_PID).await(OLD_PID, 5_000));
    }

    @Test void limitsAreTakenOverOnce() throws Exception {
        ProcessHandover old = process(OLD_PID);
        old.showAlive();
        old.handOver(Map.of("v1", 3.5));
        assertEquals(Optional.of(Map.of("v1", 3.5)), process(NEXT_PID).await(OLD_PID, 5_000));

        assertEquals(-1, process(THIRD_PID).predecessor(), "the old process has nothing left to hand over");
        assertEquals(Optional.empty(), process(THIRD_PID).await(OLD_PID, 100));
    }

    @Test void theThirdProcessWaitsForTheSecondWhileTheFirstAnswersItsLastRequests() throws Exception {
        for (long first : List.of(OLD_PID, THIRD_PID)) {
            process(first).showAlive();
            process(first).handOver(Map.of());
            process(NEXT_PID).showAlive();

            assertEquals(NEXT_PID, process(LAST_PID).predecessor(), "first process " + first);
            process(NEXT_PID).await(first, 5_000);
            assertEquals(NEXT_PID, process(LAST_PID).predecessor(), "first process " + first + ", taken over");
        }
    }

    @Test void aHandoverLeftByAnEndedProcessOfTheSameIdIsNotTaken() throws Exception {
        process(OLD_PID).handOver(Map.of("v1", 3.5));

        process(OLD_PID).removeLeftovers();
        process(OLD_PID).showAlive();

        assertEquals(Optional.empty(), process(NEXT_PID).await(OLD_PID, 100));
    }

    @Test void aLiveProcessIsWaitedForWhateverTheWallClockSays() throws Exception {
        ProcessHandover old = process(OLD_PID);
        old.showAlive();
        for (long step : List.of(-3_600_000L, -5_000L, 5_000L, 3_600_000L)) {
            Files.setLastModifiedTime(folder.resolve("kelphollow-alive-" + OLD_PID),
                FileTime.fromMillis(System.currentTimeMillis() + step));

            assertEquals(OLD_PID, process(NEXT_PID).predecessor(), "clock stepped by " + step + " ms");
        }
    }

    @Test void anEndedProcessIsNotWaitedForWhateverTheWallClockSays() throws Exception {
        Files.writeString(folder.resolve("kelphollow-lock-" + OLD_PID), "");            // nobody holds the lock
        Path alive = Files.writeString(folder.resolve("kelphollow-alive-" + OLD_PID), "");
        Files.setLastModifiedTime(alive, FileTime.fromMillis(System.currentTimeMillis() + 3_600_000));

        assertEquals(-1, process(NEXT_PID).predecessor());
        assertEquals(Optional.empty(), process(NEXT_PID).await(OLD_PID, 60_000));
    }

    @Test void filesOfEndedProcessesAreRemovedAtTheNextStart() throws Exception {
        for (String name : List.of("alive-", "lock-", "taken-", "endpoints-")) {
            Files.writeString(folder.resolve("kelphollow-" + name + OLD_PID), "");
        }
        process(NEXT_PID).showAlive();

        process(THIRD_PID).removeLeftovers();

        try (Stream<Path> left = Files.list(folder)) {
            assertEquals(Set.of("kelphollow-alive-200", "kelphollow-lock-200"),
                left.map(file -> file.getFileName().toString()).collect(Collectors.toSet()));
        }
    }
}
