package kelphollow.program;

import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The command line: {@code java -jar kelphollow.jar COMMAND}. */
public final class Main {
    /** A sub-command. */
    interface Command {
        /**
         * Runs the command and returns its exit code.
         *
         * @throws ConfigurationException if the configuration is invalid; printed with exit code {@link #USAGE}
         * @throws Exception if the command fails; printed with exit code 1
         */
        int run(PrintStream out, PrintStream err) throws Exception;
    }

    /** Exit code for an invalid command line or configuration. */
    static final int USAGE = 2;
    private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";
    private static final String LOG_FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "serve", impl = Serve.class),
        @SubCommand(name = "adapter", impl = AdapterCommand.class),
        @SubCommand(name = "train", impl = ClassArchiveTraining.class),
        @SubCommand(name = "check-config", impl = CheckConfig.class),
        @SubCommand(name = "store", impl = StoreCommand.class),
        @SubCommand(name = "fleet", impl = FleetCommand.class),
        @SubCommand(name = "lab", impl = LabCommand.class),
        @SubCommand(name = "scale", impl = ScaleCommand.class),
        @SubCommand(name = "soak", impl = SoakCommand.class),
        @SubCommand(name = "version", impl = Version.class)})
    private Command command;

    private Main() {}

    /** Runs the command line and exits with its code. */
    public static void main(String[] args) {
        if (System.getProperty(LOG_FORMAT_PROPERTY) == null) {
            System.setProperty(LOG_FORMAT_PROPERTY, "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
        }
        if (System.getProperty(LOG_MANAGER_PROPERTY) == null) {
            System.setProperty(LOG_MANAGER_PROPERTY, NonResettingLogManager.class.getName());
        }
        System.exit(run(List.of(args), System.out, System.err));
    }

    /** Runs one command line. An invalid one prints the usage, invalid configuration the key at fault; both return 2. */
    static int run(List<String> args, PrintStream out, PrintStream err) {
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            err.println("kelphollow: " + e.getMessage());
            err.println("usage: java -jar kelphollow.jar serve [--config FILE] | adapter"
                + " | check-config [--config FILE] | train --config FILE | version"
                + " | store inspect|verify|dump|compact|repair (--config FILE | FOLDER FOLDER)"
                + " | fleet status --config FILE [--json]"
                + " | lab SCENARIO.json [--seed N] [--report DIR]"
                + " | scale SCENARIO.json [--instances N[,N...]] [--seconds S] [--seed N] [--report DIR] [--json FILE]"
                + " [--simulated]"
                + " | soak [--seed N] [--seeds N] [--instances N] [--nodes N] [--seconds S] [--report DIR]");
            return USAGE;
        }
        try {
            return main.command.run(out, err);
        } catch (ConfigurationException e) {
            err.println("kelphollow: configuration: " + e.getMessage());
            return USAGE;
        } catch (Exception e) {
            err.println("kelphollow: " + e);
            return 1;
        }
    }
}
