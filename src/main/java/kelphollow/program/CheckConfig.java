package kelphollow.program;

import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** {@code check-config}: validates the configuration as {@code serve} does and prints a summary or the first error. */
public final class CheckConfig implements Main.Command {
    @Option(name = "--config", metaVar = "FILE", usage = "check this file for the object API")
    private String file;

    @Override public int run(PrintStream out, PrintStream err) throws ConfigurationException {
        if (file != null) {
            ObjectConfig config = ObjectConfig.read(file);
            out.println("configuration of " + config.name() + " is sound: " + config.options().buckets().size()
                + " buckets, " + config.options().cells() + " shards");
            return 0;
        }
        PlatformConfig config = PlatformConfig.read(System.getenv());
        out.println("configuration of " + config.name() + " is sound: " + config.known().endpoints().size()
            + " nodes known, " + config.settings().classes().size() + " classes, "
            + config.settings().plans().size() + " plans");
        return 0;
    }
}
