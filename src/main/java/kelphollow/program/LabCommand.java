package kelphollow.program;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import kelphollow.lab.Lab;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code lab}: runs a scenario against processes of this program and checks the outcome; see docs/LAB.md. */
public final class LabCommand implements Main.Command {
    @Argument(required = true, metaVar = "SCENARIO.json", usage = "what happens")
    private String scenario;

    @Option(name = "--seed", metaVar = "N", usage = "what is drawn at random follows from it")
    private long seed = 1;

    @Option(name = "--report", metaVar = "DIR", usage = "a folder for the history and what the processes leave")
    private String report;

    @Override public int run(PrintStream out, PrintStream err) throws IOException, InterruptedException {
        return Lab.run(Path.of(scenario), seed, report == null ? null : Path.of(report), out, err);
    }
}
