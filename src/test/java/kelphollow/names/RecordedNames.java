package kelphollow.names;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import kelphollow.protocol.json.Json;

/**
 * Names that others read, as recorded in {@code src/test/resources/names}. A file with the ending {@code .txt} holds one
 * name a line, sorted; one with the ending {@code .json} is an example in which each key is set.
 */
public final class RecordedNames {
    private static final Path FOLDER = Path.of("src/test/resources/names");

    private RecordedNames() {}

    /** The lines of a recording as they are. */
    public static List<String> lines(String file) throws IOException {
        return Files.readAllLines(FOLDER.resolve(file));
    }

    /** The names of a recording, which must be sorted and name nothing twice. */
    public static List<String> read(String file) throws IOException {
        List<String> names = lines(file);
        assertEquals(new ArrayList<>(new TreeSet<>(names)), names, file + " is sorted and names nothing twice");
        return names;
    }

    /** An example file, parsed. */
    public static Map<?, ?> example(String file) throws IOException {
        return (Map<?, ?>) Json.parse(Files.readString(FOLDER.resolve(file)));
    }

    /** Fails unless just the recorded names were found; the message shows both lists by line. */
    public static void assertRecorded(String file, Collection<String> found) throws IOException {
        assertEquals(String.join("\n", read(file)), String.join("\n", new TreeSet<>(found)), "names of " + file);
    }

    /** Fails if a name was found that is not recorded. */
    public static void assertAmongRecorded(String file, Collection<String> found) throws IOException {
        SortedSet<String> unknown = new TreeSet<>(found);
        unknown.removeAll(read(file));
        assertEquals(new TreeSet<>(), unknown, "names that " + file + " does not hold");
    }

    /** The paths of all keys in a JSON value, with a dot for each level and {@code []} for the items of a list. */
    public static SortedSet<String> keys(Object json) {
        SortedSet<String> keys = new TreeSet<>();
        addKeys(json, "", keys);
        return keys;
    }

    private static void addKeys(Object json, String path, SortedSet<String> keys) {
        if (json instanceof Map<?, ?> map) {
            map.forEach((key, value) -> {
                String at = path.isEmpty() ? String.valueOf(key) : path + "." + key;
                keys.add(at);
                addKeys(value, at, keys);
            });
        } else if (json instanceof List<?> list) {
            list.forEach(item -> addKeys(item, path + "[]", keys));
        }
    }
}
