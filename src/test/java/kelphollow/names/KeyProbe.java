package kelphollow.names;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.BiFunction;
import java.util.function.UnaryOperator;

/**
 * Determines which keys of an example file a reader uses, by changing one key at a time and comparing results. The example
 * sets each key to a value other than its default, so that a reader that no longer knows a key gives a different result or
 * refuses the file.
 */
public final class KeyProbe {
    /** Thrown by a {@link Reader} that refuses a file. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;

        /** {@code message} is the error that an operator would see. */
        public Refused(String message) {
            super(message);
        }
    }

    /** Reads one kind of configuration file. */
    @FunctionalInterface
    public interface Reader {
        /** Converts a parsed file, or refuses it. */
        Object read(Map<?, ?> json) throws Refused;
    }

    private interface Visitor {
        /** {@code rebuild} returns the whole example with this object replaced by its argument. */
        void object(String path, Map<?, ?> object, UnaryOperator<Object> rebuild);
    }

    private static final String REFUSED = "refused: ";
    private static final String UNKNOWN_KEY = "unknown_key";
    private static final String INVALID_VALUE = "a value that no key takes";

    private final Map<?, ?> example;
    private final Reader reader;

    /** {@code example} must be accepted by the reader. */
    public KeyProbe(Map<?, ?> example, Reader reader) {
        this.example = example;
        this.reader = reader;
        assertFalse(isRefused(outcome(example)), outcome(example));
    }

    /** Returns the result of reading a file as text, or the reason for which it was refused. */
    public String outcome(Object json) {
        try {
            return RecordText.of(reader.read((Map<?, ?>) json));
        } catch (Refused e) {
            return REFUSED + e.getMessage();
        }
    }

    /** Whether an outcome of this class stands for a refused file. */
    public static boolean isRefused(String outcome) {
        return outcome.startsWith(REFUSED);
    }

    /** Returns the paths of keys that have no effect: the result is the same without them. */
    public SortedSet<String> keysNotUsed() {
        return keysUnaffectedBy((object, key) -> without(object, key));
    }

    /** Returns the paths of keys whose values are not validated: the result is the same with an invalid value. */
    public SortedSet<String> keysNotChecked() {
        return keysUnaffectedBy((object, key) -> with(object, key, INVALID_VALUE));
    }

    private SortedSet<String> keysUnaffectedBy(BiFunction<Map<?, ?>, Object, Object> change) {
        String expected = outcome(example);
        SortedSet<String> unaffected = new TreeSet<>();
        visit(example, "", changed -> changed, (path, object, rebuild) -> {
            for (Object key : object.keySet()) {
                if (outcome(rebuild.apply(change.apply(object, key))).equals(expected)) {
                    unaffected.add(child(path, key));
                }
            }
        });
        return unaffected;
    }

    /** Returns the paths of objects in which an unknown key makes the reader refuse the file; the root is {@code .}. */
    public SortedSet<String> objectsThatRefuseUnknownKeys() {
        SortedSet<String> refusing = new TreeSet<>();
        visit(example, "", changed -> changed, (path, object, rebuild) -> {
            if (isRefused(outcome(rebuild.apply(with(object, UNKNOWN_KEY, 1.0))))) {
                refusing.add(path.isEmpty() ? "." : path);
            }
        });
        return refusing;
    }

    /** Returns the outcome with {@code value} at each key that matches {@code keyPath}. */
    public String outcomeWith(String keyPath, Object value) {
        boolean[] found = new boolean[1];
        Object changed = set(example, "", keyPath, value, found);
        if (!found[0]) {
            throw new IllegalArgumentException(keyPath + " is not in the example");
        }
        return outcome(changed);
    }

    private static Object set(Object json, String path, String keyPath, Object value, boolean[] found) {
        if (json instanceof Map<?, ?> map) {
            Map<Object, Object> copy = new LinkedHashMap<>();
            map.forEach((key, inner) -> {
                boolean matches = child(path, key).equals(keyPath);
                found[0] |= matches;
                copy.put(key, matches ? value : set(inner, child(path, key), keyPath, value, found));
            });
            return copy;
        }
        if (json instanceof List<?> list) {
            return list.stream().map(item -> set(item, path + "[]", keyPath, value, found)).toList();
        }
        return json;
    }

    private static void visit(Object json, String path, UnaryOperator<Object> rebuild, Visitor visitor) {
        if (json instanceof Map<?, ?> map) {
            visitor.object(path, map, rebuild);
            map.forEach((key, inner) -> visit(inner, child(path, key),
                changed -> rebuild.apply(with(map, key, changed)), visitor));
        } else if (json instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                int at = i;
                visit(list.get(i), path + "[]", changed -> {
                    List<Object> copy = new ArrayList<>(list);
                    copy.set(at, changed);
                    return rebuild.apply(copy);
                }, visitor);
            }
        }
    }

    private static String child(String path, Object key) {
        return path.isEmpty() ? String.valueOf(key) : path + "." + key;
    }

    private static Map<Object, Object> without(Map<?, ?> map, Object key) {
        Map<Object, Object> copy = new LinkedHashMap<>(map);
        copy.remove(key);
        return copy;
    }

    private static Map<Object, Object> with(Map<?, ?> map, Object key, Object value) {
        Map<Object, Object> copy = new LinkedHashMap<>(map);
        copy.put(key, value);
        return copy;
    }
}
