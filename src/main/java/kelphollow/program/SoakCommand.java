package kelphollow.program;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import kelphollow.lab.soak.Soak;
import org.kohsuke.args4j.Option;

/** {@code soak}: injects randomized faults into processes of this program and checks the outcome; see docs/LAB.md. */
public final class SoakCommand implements Main.Command {
    /** Every third seed runs with pushed endpoint lists, the others with polled ones. */
    private static final int PUSHED_EVERY = 3;

    @Option(name = "--seed", metaVar = "N", usage = "the first seed: faults, load and modes follow from it")
    private long seed = 1;

    @Option(name = "--seeds", metaVar = "N", usage = "how many seeds are played, one after the other")
    private int seeds = 1;

    @Option(name = "--instances", metaVar = "N", usage = "processes")
    private int instances = 10;

    @Option(name = "--nodes", metaVar = "N", usage = "stand-in storage nodes")
    private int nodes = 8;

    @Option(name = "--seconds", metaVar = "S", usage = "how long the faults go on")
    private int seconds = 40;

    @Option(name = "--variant", metaVar = "V", usage = "RESTARTS, UPGRADES or UPGRADES_WITH_CROWD")
    private Soak.Variant variant = Soak.Variant.RESTARTS;

    @Option(name = "--report", metaVar = "DIR", usage = "a folder for what the processes leave")
    private String report;

    @Override public int run(PrintStream out, PrintStream err) throws Exception {
        Path folder = report == null ? Files.createTempDirectory("soak") : Path.of(report);
        int broken = 0;
        for (long next = seed; next < seed + seeds; next++) {
            Soak.Plan plan = new Soak.Plan(next, instances, nodes, seconds, next % PUSHED_EVERY == 0);
            broken += Soak.run(plan, variant, folder.resolve("seed-" + next), out) == Soak.PASS ? 0 : 1;
        }
        out.println(seeds + " seeds, " + broken + " with a broken rule");
        return broken == 0 ? 0 : 1;
    }
}
