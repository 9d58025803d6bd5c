package kelphollow.routing;

import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Passes so many lines of one kind on to a logger in each period and counts the rest, which the next period's first line
 * tells. Guards against a fault whose log lines cost more than the fault. For one thread.
 */
final class BoundedLog {
    /** Length of a period in milliseconds. */
    static final double PERIOD = 10_000;
    /** Lines in a period. */
    static final int LINES = 10;

    private final Logger logger;
    private double periodEnds = Double.NEGATIVE_INFINITY;
    private int written;
    private long suppressed;

    BoundedLog(Logger logger) {
        this.logger = logger;
    }

    /** Logs the line, or counts it if the period has had its lines. {@code now} in milliseconds. */
    void info(double now, Supplier<String> line) {
        if (now >= periodEnds) {
            periodEnds = now + PERIOD;
            written = 0;
        }
        if (written >= LINES) {
            suppressed++;
            return;
        }
        written++;
        String more = suppressed == 0 ? "" : " (" + suppressed + " like this were not logged before)";
        suppressed = 0;
        logger.info(() -> line.get() + more);
    }
}
