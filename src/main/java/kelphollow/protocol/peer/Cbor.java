package kelphollow.protocol.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import kelphollow.protocol.json.Json;

/**
 * Writes and reads single CBOR values. The accessors throw {@link IllegalArgumentException} if a field is missing or of
 * another type. Thread-safe.
 */
final class Cbor {
    private static final CBORFactory FACTORY = new CBORFactory();
    private static final int INITIAL_BYTES = 256;
    /** Numbers are read as doubles, which represent all integers below this exactly; epochs and counters stay below it. */
    private static final double EXACT_INTEGER_LIMIT = 0x1p53;

    private Cbor() {}

    /** Writes one value. */
    interface Writer {
        void write(JsonGenerator out) throws IOException;
    }

    static byte[] write(Writer writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
        try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
            writer.write(out);
        } catch (IOException e) {
            throw new IllegalStateException("writing CBOR to memory failed", e);
        }
        return bytes.toByteArray();
    }

    /** Reads exactly one value: arrays as lists, maps as maps, numbers as doubles. */
    static Object read(byte[] bytes, int length) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes, 0, length)) {
            parser.nextToken();
            Object value = Json.read(parser);
            if (parser.nextToken() != null) {
                throw new IOException("data after the first CBOR value");
            }
            return value;
        }
    }

    static Object at(List<?> fields, int index) {
        if (index < 0 || index >= fields.size()) {
            throw new IllegalArgumentException("array has " + fields.size() + " fields, field " + index + " is missing");
        }
        return fields.get(index);
    }

    static List<?> list(Object value) {
        if (value instanceof List<?> list) {
            return list;
        }
        throw new IllegalArgumentException("value is not a list");
    }

    static String text(List<?> fields, int index) {
        if (at(fields, index) instanceof String text) {
            return text;
        }
        throw new IllegalArgumentException("field " + index + " is not a text");
    }

    /** Returns a field that is a non-negative integer. */
    static long integer(List<?> fields, int index) {
        if (at(fields, index) instanceof Double number && number >= 0 && number == Math.rint(number)
            && number < EXACT_INTEGER_LIMIT) {
            return number.longValue();
        }
        throw new IllegalArgumentException("field " + index + " is not a non-negative integer");
    }
}
