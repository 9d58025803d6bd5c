package kelphollow.protocol.xds;

import java.util.List;
import java.util.Map;

/**
 * Reads fields of a message in proto3 JSON. A field name is accepted in both spellings, {@code lb_endpoints} and {@code
 * lbEndpoints}. Each method throws {@link IllegalArgumentException} with the path of a field that has the wrong type.
 * Stateless.
 */
final class ProtoJson {
    private ProtoJson() {}

    /** The value of a field, or null. */
    static Object field(Map<?, ?> message, String name) {
        Object value = message.get(name);
        return value != null ? value : message.get(camelCase(name));
    }

    private static String camelCase(String name) {
        StringBuilder camel = new StringBuilder();
        for (String word : name.split("_")) {
            camel.append(camel.isEmpty() ? word : Character.toUpperCase(word.charAt(0)) + word.substring(1));
        }
        return camel.toString();
    }

    /** Returns the value as a message; {@code path} names it in an error. */
    static Map<?, ?> message(Object value, String path) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new IllegalArgumentException(path + " is missing or not an object");
    }

    /** A repeated field, which proto3 JSON omits if it is empty. */
    static List<?> list(Map<?, ?> message, String path, String name) {
        Object value = field(message, name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw new IllegalArgumentException(path + "." + name + " is not a list");
    }

    /** A string field that is not empty. */
    static String text(Map<?, ?> message, String path, String name) {
        if (field(message, name) instanceof String value && !value.isEmpty()) {
            return value;
        }
        throw new IllegalArgumentException(path + "." + name + " is missing, empty or not a string");
    }

    /** Returns the value as an integer within inclusive bounds. */
    static int integer(Object value, String path, int min, int max) {
        if (value instanceof Double number && number >= min && number <= max && number == Math.rint(number)) {
            return number.intValue();
        }
        throw new IllegalArgumentException(path + " must be an integer from " + min + " to " + max);
    }
}
