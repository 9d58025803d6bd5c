package kelphollow.fleet;

import java.util.Collection;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * The events of the fleet, one JSON object a line, through the JDK's logging: a further logging library in the jar would be
 * found and started by Netty on the platform too. Written where the operator configures, else to the program's log.
 */
public final class EventLog {
    private final Logger log;

    /** {@code handler} gets each line; null: the program's own log has it. */
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

    /** Writes an event of an instance and its epoch; {@code lists} holds lists of names by key. */
    void write(FleetEvent event, String instance, long epoch, String reason,
        Map<String, ? extends Collection<String>> lists) {
        log.info(JsonLine.of(out -> {
            out.writeNumberField("wall_ms", System.currentTimeMillis());   // for readers; nothing is decided by it
            out.writeStringField("event", event.word());
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
