package kelphollow.program;

import java.util.logging.LogManager;

/**
 * Java's log manager without its reset. The JVM resets the usual one in a shutdown hook of its own at SIGTERM, after which
 * nothing is logged any more; but this program goes on serving for seconds then, and what it does must be seen. Named by the
 * system property {@code java.util.logging.manager} before the first logger is made.
 */
public final class LastingLogManager extends LogManager {
    /** For the log system only. */
    public LastingLogManager() {}

    /** Does nothing: handlers stay until the process has ended. */
    @Override public void reset() {}
}
