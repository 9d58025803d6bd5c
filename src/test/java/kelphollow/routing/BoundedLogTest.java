package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** A bounded number of lines in each period, and the number of those that were suppressed. */
class BoundedLogTest {
    private final List<String> lines = new ArrayList<>();
    private final Logger logger = Logger.getAnonymousLogger();
    private final BoundedLog log = new BoundedLog(logger);

    BoundedLogTest() {
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
        log(1_000, BoundedLog.LINES + 5);

        assertEquals(BoundedLog.LINES, lines.size());
    }

    @Test void theFirstLineOfTheNextPeriodSaysHowManyWereSuppressed() {
        log(1_000, BoundedLog.LINES + 5);
        log(1_000 + BoundedLog.PERIOD - 1, 1);
        lines.clear();

        log(1_000 + BoundedLog.PERIOD, 2);

        assertEquals(List.of("line (6 like this were suppressed before)", "line"), lines);
    }
}
