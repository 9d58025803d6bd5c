package kelphollow.routing;

import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Limits the rate of log lines of one kind: so many are logged in each period, the rest is counted, and the next period's
 * first line says how many were suppressed. Guards against a fault whose log lines cost more than the fault. For one
 * thread.
 */
final class BoundedLog {
    /** Length of a period in milliseconds. */
    static final double PERIOD = 10_000;
    /** Lines in a period. */
    static final int LINES = 10;

    private final Logger logger;
    private double periodEndsAt = Double.NEGATIVE_INFINITY;
    private int logged;
    private long suppressed;

    BoundedLog(Logger logger) {
        this.logger = logger;
    }

    /** Logs the line, or counts it if the period has had its lines; {@code now} in milliseconds. */
    void info(double now, Supplier<String> line) {
        if (now >= periodEndsAt) {
            periodEndsAt = now + PERIOD;
            logged = 0;
        }
        if (logged >= LINES) {
            suppressed++;
            return;
        }
        logged++;
        String suffix = suppressed == 0 ? "" : " (" + suppressed + " like this were suppressed before)";
        suppressed = 0;
        logger.info(() -> line.get() + suffix);
    }
}
