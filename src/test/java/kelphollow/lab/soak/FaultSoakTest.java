package kelphollow.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs real processes under overlapping faults: one short run with polled lists and one with pushed lists, at the same time.
 * The command {@code soak} does longer runs with many seeds.
 */
@Timeout(120)
class FaultSoakTest {
    private static final int INSTANCES = 5;
    private static final int NODES = 6;
    private static final int SECONDS = 9;
    @TempDir
    Path folder;

    private Void runSoak(long seed, boolean pushed) throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        Soak.Plan plan = new Soak.Plan(seed, INSTANCES, NODES, SECONDS, pushed);
        assertEquals(Soak.PASS, Soak.run(plan, folder.resolve("run-" + seed), new PrintStream(output)), output::toString);
        return null;
    }

    @Test void noRuleIsBrokenWithPolledOrPushedLists() throws Exception {
        ExecutorService runs = Executors.newFixedThreadPool(2);
        try {
            List<Callable<Void>> both = List.of(() -> runSoak(4, false), () -> runSoak(3, true));
            for (Future<Void> run : runs.invokeAll(both)) {
                run.get();
            }
        } finally {
            runs.shutdownNow();
        }
        assertEquals(0, ProcessHandle.current().descendants().filter(p -> p.info().commandLine().orElse("")
            .contains(folder.toString())).count(), "processes must not outlive the run");
    }
}
