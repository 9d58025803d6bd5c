package kelphollow.adapter;

import java.util.List;
import java.util.Map;

/** Typed access to parsed JSON values; {@code what} names the value in error messages. */
final class JsonFields {
    private JsonFields() {}

    /** The element at an index, or null if the index is past the end. */
    static Object at(List<?> values, int index) {
        return index < values.size() ? values.get(index) : null;
    }

    static Map<?, ?> object(Object value, String what) throws MalformedMessageException {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new MalformedMessageException(what + " must be an object, found " + value);
    }

    static List<?> list(Object value, String what) throws MalformedMessageException {
        if (value instanceof List<?> values) {
            return values;
        }
        throw new MalformedMessageException(what + " must be an array, found " + value);
    }

    static double number(Object value, String what) throws MalformedMessageException {
        if (value instanceof Double d) {
            return d;
        }
        throw new MalformedMessageException(what + " must be a number, found " + value);
    }

    static String text(Object value, String what) throws MalformedMessageException {
        if (value instanceof String s) {
            return s;
        }
        throw new MalformedMessageException(what + " must be a string, found " + value);
    }

    /** The value if it is a string, otherwise {@code absent}. */
    static String textOr(Object value, String absent) {
        return value instanceof String s ? s : absent;
    }

    /** The value if it is a number, otherwise {@code absent}. */
    static double numberOr(Object value, double absent) {
        return value instanceof Double d ? d : absent;
    }

    /** The value if it is an object, otherwise an empty one. */
    static Map<?, ?> objectOrEmpty(Object value) {
        return value instanceof Map<?, ?> map ? map : Map.of();
    }

    /** The value if it is an array, otherwise an empty one. */
    static List<?> listOrEmpty(Object value) {
        return value instanceof List<?> list ? list : List.of();
    }
}
