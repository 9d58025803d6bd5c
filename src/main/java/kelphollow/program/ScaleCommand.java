package kelphollow.program;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import kelphollow.scale.Scale;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code scale}: runs a fleet of target size in one process and measures it; see docs/LAB.md. */
public final class ScaleCommand implements Main.Command {
    @Argument(metaVar = "SCENARIO.json", required = true, usage = "what is played")
    private String scenario;

    @Option(name = "--instances", metaVar = "N[,N...]", usage = "sizes to play instead of the scenario's, in turn")
    private String instances = "";

    @Option(name = "--seconds", metaVar = "S", usage = "how long is measured, instead of the scenario's")
    private double seconds = Double.NaN;

    @Option(name = "--seed", metaVar = "N", usage = "what is drawn at random follows from it")
    private long seed = 1;

    @Option(name = "--report", metaVar = "DIR", usage = "a folder for the curves")
    private String report;

    @Option(name = "--json", metaVar = "FILE", usage = "a file for the figures")
    private String json;

    @Option(name = "--simulated", usage = "on one clock, by seed, without sockets and processes")
    private boolean simulated;

    @Override public int run(PrintStream out, PrintStream err) throws IOException, InterruptedException {
        List<Integer> sizes = new ArrayList<>();
        for (String size : instances.isEmpty() ? new String[0] : instances.split(",")) {
            if (!size.matches("[0-9]{1,6}")) {
                err.println("kelphollow: --instances: '" + size + "' is no number");
                return Main.USAGE;
            }
            sizes.add(Integer.parseInt(size));
        }
        return Scale.run(new Scale.Options(Path.of(scenario), sizes, seconds, seed, report == null ? null : Path.of(report),
            json == null ? null : Path.of(json), simulated), out, err);
    }
}
