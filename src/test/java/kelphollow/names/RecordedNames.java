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
 * Names of outside interfaces, recorded in {@code src/test/resources/names}, and assertions that they are unchanged. A
 * {@code .txt} file holds one name a line, sorted; a {@code .json} file is an example in which each key is set.
 */
public final class RecordedNames {
    private static final Path FOLDER = Path.of("src/test/resources/names");

    private RecordedNames() {}

    /** Returns the lines of a recorded file, unchecked. */
    public static List<String> lines(String file) throws IOException {
        return Files.readAllLines(FOLDER.resolve(file));
    }

    /** Returns the names in a recorded file, which must be sorted and without duplicates. */
    public static List<String> read(String file) throws IOException {
        List<String> names = lines(file);
        assertEquals(new ArrayList<>(new TreeSet<>(names)), names, file + " must be sorted and without duplicates");
        return names;
    }

    /** Parses an example file. */
    public static Map<?, ?> example(String file) throws IOException {
        return (Map<?, ?>) Json.parse(Files.readString(FOLDER.resolve(file)));
    }

    /** Fails unless the found names are exactly the recorded ones; the message shows both lists line by line. */
    public static void assertRecorded(String file, Collection<String> found) throws IOException {
        assertEquals(String.join("\n", read(file)), String.join("\n", new TreeSet<>(found)), "names of " + file);
    }

    /** Fails if a found name is not recorded. */
    public static void assertAmongRecorded(String file, Collection<String> found) throws IOException {
        SortedSet<String> unknown = new TreeSet<>(found);
        unknown.removeAll(read(file));
        assertEquals(new TreeSet<>(), unknown, "names not recorded in " + file);
    }

    /** Returns the paths of all keys in a JSON value; a dot separates levels, {@code []} stands for the items of a list. */
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
