package kelphollow.protocol.xds;

import java.util.List;
import java.util.Map;

/**
 * Fields of a message in proto3 JSON. Both spellings of a name are read, {@code lb_endpoints} and {@code
 * lbEndpoints}. Each method throws {@link IllegalArgumentException} naming the path of a field that has another type.
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

    /** The value as a message; {@code path} names it. */
    static Map<?, ?> message(Object value, String path) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new IllegalArgumentException(path + " is missing or not an object");
    }

    /** A repeated field; proto3 JSON leaves empty ones out. */
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

    /** A field with a text that is not empty. */
    static String text(Map<?, ?> message, String path, String name) {
        if (field(message, name) instanceof String value && !value.isEmpty()) {
            return value;
        }
        throw new IllegalArgumentException(path + "." + name + " is missing or not a text");
    }

    /** The value as a whole number within bounds, both included. */
    static int integer(Object value, String path, int min, int max) {
        if (value instanceof Double number && number >= min && number <= max && number == Math.rint(number)) {
            return number.intValue();
        }
        throw new IllegalArgumentException(path + " must be a whole number from " + min + " to " + max);
    }
}
