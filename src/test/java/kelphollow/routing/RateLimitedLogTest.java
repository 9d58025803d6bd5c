package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** Each period logs a bounded number of lines and the number of those suppressed before. */
class RateLimitedLogTest {
    private final List<String> lines = new ArrayList<>();
    private final Logger logger = Logger.getAnonymousLogger();
    private final RateLimitedLog log = new RateLimitedLog(logger);

    RateLimitedLogTest() {
        logger.setUseParentHandlers(false);
        logger.addHandler(new Handler() {
            @Override public void publish(LogRecord line) {
                lines.add(line.getMessage());
            }

            @Override public void flush() {}

            @Override public void close() {}
        });
    }

    private void log(double now, int count) {
        for (int i = 0; i < count; i++) {
            log.info(now, () -> "line");
        }
    }

    @Test void linesOfAPeriodAreBounded() {
        log(1_000, RateLimitedLog.MAX_LINES + 5);

        assertEquals(RateLimitedLog.MAX_LINES, lines.size());
    }

    @Test void theFirstLineOfTheNextPeriodSaysHowManyWereSuppressed() {
        log(1_000, RateLimitedLog.MAX_LINES + 5);
        log(1_000 + RateLimitedLog.PERIOD_MS - 1, 1);
        lines.clear();

        log(1_000 + RateLimitedLog.PERIOD_MS, 2);

        assertEquals(List.of("line (6 similar lines were suppressed)", "line"), lines);
    }
}
