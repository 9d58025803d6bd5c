package kelphollow.fleet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Collection;
import java.util.Map;
import java.util.TreeSet;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * The events of the fleet, one JSON object a line, through the JDK's logging: a further logging library in the jar
 * would be found and started by Netty on the platform too. Written where the operator says, else to the program's log.
 */
public final class Events {
    private static final JsonFactory JSON = new JsonFactory();
    private final Logger log;

    /** {@code handler} gets each line; null: the program's own log has it. */
    public Events(Handler handler) {
        log = Logger.getAnonymousLogger();
        if (handler != null) {
            handler.setFormatter(new Formatter() {
                @Override public String format(LogRecord record) {
                    return record.getMessage() + "\n";
                }
            });
            log.setUseParentHandlers(false);
            log.addHandler(handler);
        }
    }

    interface Fields {
        void write(JsonGenerator out) throws IOException;
    }

    static String json(Fields fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            fields.write(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e);   // a StringWriter does not fail
        }
        return text.toString();
    }

    static void names(JsonGenerator out, String key, Collection<String> names) throws IOException {
        out.writeArrayFieldStart(key);
        for (String name : new TreeSet<>(names)) {
            out.writeString(name);
        }
        out.writeEndArray();
    }

    /** One event: what happened to whom, in which of its lives, and why; {@code more} holds lists of names. */
    void tell(String what, String instance, long epoch, String why, Map<String, ? extends Collection<String>> more) {
        log.info(json(out -> {
            out.writeNumberField("wall_ms", System.currentTimeMillis());   // for readers; nothing is decided by it
            out.writeStringField("event", what);
            out.writeStringField("instance", instance);
            out.writeNumberField("epoch", epoch);
            if (!why.isEmpty()) {
                out.writeStringField("why", why);
            }
            for (Map.Entry<String, ? extends Collection<String>> e : more.entrySet()) {
                names(out, e.getKey(), e.getValue());
            }
        }));
    }
}
