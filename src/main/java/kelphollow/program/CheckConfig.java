package kelphollow.program;

import java.io.PrintStream;

/** {@code check-config}: reads the configuration as {@code serve} would and says whether it is sound. */
public final class CheckConfig implements Main.Command {
    @Override public int run(PrintStream out, PrintStream err) throws Config.Bad {
        Config config = Config.platform(System.getenv());
        out.println("configuration of " + config.name() + " is sound: " + config.known().members().size()
            + " nodes known, " + config.settings().classes().size() + " classes, "
            + config.settings().plans().size() + " plans");
        return 0;
    }
}
