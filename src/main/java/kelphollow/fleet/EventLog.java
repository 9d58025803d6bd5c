package kelphollow.fleet;

import java.util.Collection;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes the fleet's events, one JSON object per line, to the file that the operator configures, or else to the program's
 * log. Uses the JDK's logging, since Netty would also find and initialize any other logging library in the jar.
 */
public final class EventLog {
    private final Logger log;

    /** Creates a log that writes each line to {@code handler}, or to the program's log if {@code handler} is null. */
    public EventLog(Handler handler) {
        log = Logger.getAnonymousLogger();
        if (handler != null) {
            handler.setFormatter(new LineFormatter());
            log.setUseParentHandlers(false);
            log.addHandler(handler);
        }
    }

    private static final class LineFormatter extends Formatter {
        @Override public String format(LogRecord record) {
            return record.getMessage() + "\n";
        }
    }

    /** Writes an event without lists of names. */
    void write(FleetEvent event, String instance, long epoch, String reason) {
        write(event, instance, epoch, reason, Map.of());
    }

    /** Writes an event of an instance in an epoch; {@code lists} holds lists of names by their JSON key. */
    void write(FleetEvent event, String instance, long epoch, String reason,
        Map<String, ? extends Collection<String>> lists) {
        log.info(JsonLine.of(out -> {
            out.writeNumberField("wall_ms", System.currentTimeMillis());   // for human readers only, no decision uses it
            out.writeStringField("event", event.eventName());
            out.writeStringField("instance", instance);
            out.writeNumberField("epoch", epoch);
            if (!reason.isEmpty()) {
                out.writeStringField("why", reason);
            }
            for (Map.Entry<String, ? extends Collection<String>> list : lists.entrySet()) {
                JsonLine.names(out, list.getKey(), list.getValue());
            }
        }));
    }
}
