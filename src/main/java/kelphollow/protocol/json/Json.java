package kelphollow.protocol.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads a JSON value into lists, maps, strings, numbers and booleans, and writes one. */
public final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /** Parses a string that holds exactly one value; numbers become doubles. */
    public static Object parse(String line) throws IOException {
        try (JsonParser parser = FACTORY.createParser(line)) {
            parser.nextToken();
            Object value = read(parser);
            if (parser.nextToken() != null) {
                throw new IOException("unexpected content after the JSON value");
            }
            return value;
        }
    }

    /** Reads the value at the parser's current token, in any format that Jackson parses; numbers become doubles. */
    public static Object read(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new IOException("the input holds no value");
        }
        return switch (token) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> parser.getText();
            case VALUE_EMBEDDED_OBJECT -> parser.getBinaryValue();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> throw new IOException("unexpected " + token);
        };
    }

    private static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            map.put(name, read(parser));
        }
        return map;
    }

    private static List<Object> readArray(JsonParser parser) throws IOException {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            list.add(read(parser));
        }
        return list;
    }

    /** Writes a value of maps, lists, strings, numbers and booleans as JSON on one line. */
    public static String write(Object value) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = FACTORY.createGenerator(text)) {
            write(value, out);
        } catch (IOException e) {
            throw new IllegalStateException(e);   // a StringWriter does not throw
        }
        return text.toString();
    }

    private static void write(Object value, JsonGenerator out) throws IOException {
        if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.writeFieldName(String.valueOf(entry.getKey()));
                write(entry.getValue(), out);
            }
            out.writeEndObject();
        } else if (value instanceof Iterable<?> list) {
            out.writeStartArray();
            for (Object item : list) {
                write(item, out);
            }
            out.writeEndArray();
        } else if (value instanceof Boolean flag) {
            out.writeBoolean(flag);
        } else if (value instanceof Integer || value instanceof Long) {
            out.writeNumber(((Number) value).longValue());
        } else if (value instanceof Number number) {
            out.writeNumber(number.doubleValue());
        } else if (value == null) {
            out.writeNull();
        } else {
            out.writeString(String.valueOf(value));
        }
    }
}
