package kelphollow.program;

import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** {@code check-config}: reads the configuration as {@code serve} would and says whether it is sound. */
public final class CheckConfig implements Main.Command {
    @Option(name = "--config", metaVar = "FILE", usage = "check this file for the object API")
    private String file;

    @Override public int run(PrintStream out, PrintStream err) throws Config.Bad {
        if (file != null) {
            ObjectConfig config = ObjectConfig.read(file);
            out.println("configuration of " + config.name() + " is sound: " + config.options().buckets().size()
                + " buckets, " + config.options().shards() + " shards");
            return 0;
        }
        Config config = Config.platform(System.getenv());
        out.println("configuration of " + config.name() + " is sound: " + config.known().endpoints().size()
            + " nodes known, " + config.settings().classes().size() + " classes, "
            + config.settings().plans().size() + " plans");
        return 0;
    }
}
