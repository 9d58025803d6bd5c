package kelphollow.protocol.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import kelphollow.protocol.json.Json;

/**
 * Writes and reads single CBOR values. The accessors throw {@link IllegalArgumentException} for what is missing or of
 * another type. Safe for any thread.
 */
final class Cbor {
    private static final CBORFactory FACTORY = new CBORFactory();
    private static final int INITIAL_BYTES = 256;
    /** Numbers are read as doubles, exact below this: epochs and counters do not reach it. */
    private static final double EXACT_INTEGERS_BELOW = 0x1p53;

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
            throw new IllegalStateException("memory does not fail", e);
        }
        return bytes.toByteArray();
    }

    /** Exactly one value; arrays as lists, maps as maps, numbers as doubles. */
    static Object read(byte[] bytes, int length) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes, 0, length)) {
            parser.nextToken();
            Object value = Json.read(parser);
            if (parser.nextToken() != null) {
                throw new IOException("more than one value");
            }
            return value;
        }
    }

    static Object at(List<?> fields, int index) {
        if (index < 0 || index >= fields.size()) {
            throw new IllegalArgumentException("too short");
        }
        return fields.get(index);
    }

    static List<?> list(Object value) {
        if (value instanceof List<?> list) {
            return list;
        }
        throw new IllegalArgumentException("not a list");
    }

    static String text(List<?> fields, int index) {
        if (at(fields, index) instanceof String text) {
            return text;
        }
        throw new IllegalArgumentException("not a text");
    }

    /** A whole number from 0. */
    static long integer(List<?> fields, int index) {
        if (at(fields, index) instanceof Double number && number >= 0 && number == Math.rint(number)
            && number < EXACT_INTEGERS_BELOW) {
            return number.longValue();
        }
        throw new IllegalArgumentException("not a whole number");
    }
}
