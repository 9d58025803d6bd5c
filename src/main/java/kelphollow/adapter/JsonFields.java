package kelphollow.adapter;

import java.util.List;
import java.util.Map;

/** Typed access to parsed JSON; {@code what} names a value in the message of the fault. */
final class JsonFields {
    private JsonFields() {}

    /** The element at an index; null behind the end. */
    static Object at(List<?> values, int index) {
        return index < values.size() ? values.get(index) : null;
    }

    static Map<?, ?> object(Object value, String what) throws MalformedMessageException {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new MalformedMessageException(what + " is not an object");
    }

    static List<?> list(Object value, String what) throws MalformedMessageException {
        if (value instanceof List<?> values) {
            return values;
        }
        throw new MalformedMessageException(what + " is not an array");
    }

    static double number(Object value, String what) throws MalformedMessageException {
        if (value instanceof Double d) {
            return d;
        }
        throw new MalformedMessageException(what + " is not a number");
    }

    static String text(Object value, String what) throws MalformedMessageException {
        if (value instanceof String s) {
            return s;
        }
        throw new MalformedMessageException(what + " is not a text");
    }

    /** The text, or {@code absent} for anything else. */
    static String textOr(Object value, String absent) {
        return value instanceof String s ? s : absent;
    }

    /** The number, or {@code absent} for anything else. */
    static double numberOr(Object value, double absent) {
        return value instanceof Double d ? d : absent;
    }

    /** The object, or an empty one for anything else. */
    static Map<?, ?> objectOrEmpty(Object value) {
        return value instanceof Map<?, ?> map ? map : Map.of();
    }

    /** The array, or an empty one for anything else. */
    static List<?> listOrEmpty(Object value) {
        return value instanceof List<?> list ? list : List.of();
    }
}
