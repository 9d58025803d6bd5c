package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two processes of an upgrade, as two sides in one test, sharing one TMPDIR. */
@Timeout(20)
class HandoverTest {
    @TempDir
    Path tmp;

    private ProcessHandover process(long pid) {
        return new ProcessHandover(tmp, pid);
    }

    @Test void theNewSideFindsTheOldAndTakesTheLevelsItLeaves() throws Exception {
        ProcessHandover old = process(100);
        ProcessHandover next = process(200);
        old.showAlive();
        assertEquals(100, next.otherProcess(), "the old one shows that it lives");
        assertEquals(-1, old.otherProcess(), "and sees none but itself");
        old.handOver(Map.of("v1", 3.5, "v2", 0.0));
        assertEquals(Map.of("v1", 3.5, "v2", 0.0), next.await(100, 5_000));
    }

    @Test void aSideThatShowsNoLifeIsNotWaitedFor() throws Exception {
        ProcessHandover old = process(100);
        ProcessHandover next = process(200);
        old.showAlive();
        Files.setLastModifiedTime(tmp.resolve("kelphollow-alive-100"),
            FileTime.fromMillis(System.currentTimeMillis() - 5_000));
        assertEquals(-1, next.otherProcess(), "killed long ago");
        assertEquals(Map.of(), next.await(100, 5_000), "it hands nothing over, and nothing is waited for");
    }

    @Test void aHalfWrittenHandOverIsNotTaken() throws Exception {
        ProcessHandover next = process(200);
        process(100).showAlive();
        Files.writeString(tmp.resolve("kelphollow-handover-100"), "v1 3.5\n");
        assertEquals(Map.of(), next.await(100, 100), "cut short: waited for until the time is up");
    }
}
