package kelphollow.program;

import java.util.logging.LogManager;

/**
 * A log manager that ignores {@link #reset}. The JVM's own shutdown hook resets the log manager at SIGTERM, which would
 * silence the log while this program still serves for some seconds. Set by the system property
 * {@code java.util.logging.manager} before the first logger is created.
 */
public final class NonResettingLogManager extends LogManager {
    /** Called reflectively by {@code java.util.logging}. */
    public NonResettingLogManager() {}

    /** Does nothing: handlers stay open until the process ends. */
    @Override public void reset() {}
}
