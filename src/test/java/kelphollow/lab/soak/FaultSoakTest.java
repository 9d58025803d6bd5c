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
 * Runs real processes under overlapping faults: two runs with restarts and three with upgrades, at the same time.
 * The command {@code soak} does longer runs with many seeds.
 */
@Timeout(120)
class FaultSoakTest {
    private static final int INSTANCES = 5;
    private static final int NODES = 6;
    private static final int SECONDS = 9;
    private static final int UPGRADED_INSTANCES = 3;
    private static final int UPGRADE_SECONDS = 14;
    @TempDir
    Path folder;

    private Void runSoak(Soak.Plan plan, Soak.Variant variant) throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        assertEquals(Soak.PASS, Soak.run(plan, variant, folder.resolve("run-" + plan.seed()), new PrintStream(output)),
            output::toString);
        return null;
    }

    private static Soak.Plan restarts(long seed, boolean pushed) {
        return new Soak.Plan(seed, INSTANCES, NODES, SECONDS, pushed);
    }

    private static Soak.Plan upgrades(long seed, boolean pushed) {
        return new Soak.Plan(seed, UPGRADED_INSTANCES, NODES, UPGRADE_SECONDS, pushed);
    }

    @Test void noRuleIsBrokenByRestartsOrUpgradesWithPolledOrPushedLists() throws Exception {
        List<Callable<Void>> plans = List.of(() -> runSoak(restarts(4, false), Soak.Variant.RESTARTS),
            () -> runSoak(restarts(3, true), Soak.Variant.RESTARTS),
            () -> runSoak(upgrades(14, false), Soak.Variant.UPGRADES),
            () -> runSoak(upgrades(13, true), Soak.Variant.UPGRADES_WITH_CROWD),
            () -> runSoak(upgrades(73, false), Soak.Variant.UPGRADES_WITH_DEPARTURES));
        ExecutorService runs = Executors.newFixedThreadPool(plans.size());
        try {
            for (Future<Void> run : runs.invokeAll(plans)) {
                run.get();
            }
        } finally {
            runs.shutdownNow();
        }
        assertEquals(0, ProcessHandle.current().descendants().filter(p -> p.info().commandLine().orElse("")
            .contains(folder.toString())).count(), "processes must not outlive the run");
    }
}
