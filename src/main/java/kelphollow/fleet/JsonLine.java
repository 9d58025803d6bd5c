package kelphollow.fleet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Collection;
import java.util.TreeSet;

/** Writes JSON objects on one line. */
final class JsonLine {
    private static final JsonFactory JSON = new JsonFactory();

    private JsonLine() {}

    /** Writes the fields of one object. */
    interface Fields {
        void write(JsonGenerator out) throws IOException;
    }

    static String of(Fields fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            fields.write(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing JSON to a StringWriter failed", e);
        }
        return text.toString();
    }

    /** Writes a field whose value is a sorted array of names. */
    static void names(JsonGenerator out, String key, Collection<String> names) throws IOException {
        out.writeArrayFieldStart(key);
        for (String name : new TreeSet<>(names)) {
            out.writeString(name);
        }
        out.writeEndArray();
    }
}
