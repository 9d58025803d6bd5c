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
 * Shows which keys of an example file a reader reads: the example holds each key with a value that differs from the default,
 * so that a reader that does not know a key any more gives another result, or refuses the file.
 */
public final class KeyProbe {
    /** Why a file was refused. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;

        /** {@code message} is what an operator would see. */
        public Refused(String message) {
            super(message);
        }
    }

    /** The reader of a kind of file. */
    @FunctionalInterface
    public interface Reader {
        /** Reads a parsed file. */
        Object read(Map<?, ?> json) throws Refused;
    }

    private interface Visitor {
        /** {@code whole} gives the example with another value in the place of this object. */
        void object(String path, Map<?, ?> object, UnaryOperator<Object> whole);
    }

    private static final String REFUSED = "refused: ";
    private static final String UNKNOWN_KEY = "unknown_key";
    private static final String WRONG_VALUE = "a value that no key takes";

    private final Map<?, ?> example;
    private final Reader reader;

    /** {@code example} must be accepted by the reader. */
    public KeyProbe(Map<?, ?> example, Reader reader) {
        this.example = example;
        this.reader = reader;
        assertFalse(isRefused(outcome(example)), outcome(example));
    }

    /** What the reader makes of a file: the values of the result as text, or why it was refused. */
    public String outcome(Object json) {
        try {
            return RecordText.of(reader.read((Map<?, ?>) json));
        } catch (Refused e) {
            return REFUSED + e.getMessage();
        }
    }

    /** Whether an outcome says that the file was refused. */
    public static boolean isRefused(String outcome) {
        return outcome.startsWith(REFUSED);
    }

    /** Paths of keys whose values are not used: the result is the same when they are missing. */
    public SortedSet<String> keysNotUsed() {
        return keysThatMayBecome((object, key) -> without(object, key));
    }

    /** Paths of keys whose values are not even looked at: the result is the same when they hold nonsense. */
    public SortedSet<String> keysNotChecked() {
        return keysThatMayBecome((object, key) -> with(object, key, WRONG_VALUE));
    }

    private SortedSet<String> keysThatMayBecome(BiFunction<Map<?, ?>, Object, Object> change) {
        String expected = outcome(example);
        SortedSet<String> same = new TreeSet<>();
        visit(example, "", whole -> whole, (path, object, whole) -> {
            for (Object key : object.keySet()) {
                if (outcome(whole.apply(change.apply(object, key))).equals(expected)) {
                    same.add(child(path, key));
                }
            }
        });
        return same;
    }

    /** Paths of the objects in which a key that is not known refuses the whole file; the file itself is {@code .}. */
    public SortedSet<String> objectsThatRefuseUnknownKeys() {
        SortedSet<String> refusing = new TreeSet<>();
        visit(example, "", whole -> whole, (path, object, whole) -> {
            if (isRefused(outcome(whole.apply(with(object, UNKNOWN_KEY, 1.0))))) {
                refusing.add(path.isEmpty() ? "." : path);
            }
        });
        return refusing;
    }

    /** The outcome with this value at each key of this path. */
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
                boolean here = child(path, key).equals(keyPath);
                found[0] |= here;
                copy.put(key, here ? value : set(inner, child(path, key), keyPath, value, found));
            });
            return copy;
        }
        if (json instanceof List<?> list) {
            return list.stream().map(item -> set(item, path + "[]", keyPath, value, found)).toList();
        }
        return json;
    }

    private static void visit(Object json, String path, UnaryOperator<Object> whole, Visitor visitor) {
        if (json instanceof Map<?, ?> map) {
            visitor.object(path, map, whole);
            map.forEach((key, inner) -> visit(inner, child(path, key),
                changed -> whole.apply(with(map, key, changed)), visitor));
        } else if (json instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                int at = i;
                visit(list.get(i), path + "[]", changed -> {
                    List<Object> copy = new ArrayList<>(list);
                    copy.set(at, changed);
                    return whole.apply(copy);
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
