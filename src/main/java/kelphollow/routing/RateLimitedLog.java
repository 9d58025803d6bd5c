package kelphollow.routing;

import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Limits the rate of log lines of one kind. Each period logs at most {@link #MAX_LINES} lines; further lines are counted,
 * and the first line of the next period tells how many were suppressed. Prevents log lines from costing more than the
 * fault that they report. Confined to one thread.
 */
public final class RateLimitedLog {
    /** Length of a period. */
    static final double PERIOD_MS = 10_000;
    /** Lines that are logged in a period at most. */
    static final int MAX_LINES = 10;

    private final Logger logger;
    private double periodEndsAt = Double.NEGATIVE_INFINITY;
    private int logged;
    private long suppressed;

    /** Creates a log that writes to {@code logger}. */
    public RateLimitedLog(Logger logger) {
        this.logger = logger;
    }

    /** Logs the line, or counts it as suppressed if the period has had its lines; {@code now} in milliseconds. */
    public void info(double now, Supplier<String> line) {
        if (now >= periodEndsAt) {
            periodEndsAt = now + PERIOD_MS;
            logged = 0;
        }
        if (logged >= MAX_LINES) {
            suppressed++;
            return;
        }
        logged++;
        String suffix = suppressed == 0 ? "" : " (" + suppressed + " similar lines were suppressed)";
        suppressed = 0;
        logger.info(() -> line.get() + suffix);
    }
}
