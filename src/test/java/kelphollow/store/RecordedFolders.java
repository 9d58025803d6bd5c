package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Reference stores written by an earlier version of the program, under {@code src/test/resources/stores}: one folder for
 * each, with the store's two folders {@code a} and {@code b} and text files of what that version read from them. They are
 * never regenerated: code that reads or writes them differently has changed the stored format.
 */
public final class RecordedFolders {
    /** Names of the folders of a store's two copies. */
    public static final List<String> COPIES = List.of("a", "b");
    /** An empty store. Each recorded store began as a copy of it, so all have the same store id. */
    public static final String NEW = "new";
    private static final Path RECORDINGS = Path.of("src/test/resources/stores");
    /** The file that a running program locks; it is empty and not part of the format. */
    private static final String LOCK = "LOCK";
    private static final String EMPTY = "-";

    private RecordedFolders() {}

    /** The path of a recorded store. */
    public static Path of(String store) {
        return RECORDINGS.resolve(store);
    }

    /** The lines of a recorded text file. */
    public static List<String> text(String store, String name) throws IOException {
        return Files.readAllLines(of(store).resolve(name), StandardCharsets.UTF_8);
    }

    /** Copies both folders of a store into {@code to}. */
    public static Path copy(String store, Path to) throws IOException {
        for (String copy : COPIES) {
            Path folder = Files.createDirectories(to.resolve(copy));
            for (String name : names(of(store).resolve(copy))) {
                Files.copy(of(store).resolve(copy).resolve(name), folder.resolve(name));
            }
        }
        return to;
    }

    /** Asserts that both folders have files of the same names and bytes. */
    public static void assertSameFiles(Path expected, Path found) throws IOException {
        for (String copy : COPIES) {
            Path expectedFolder = expected.resolve(copy);
            Path foundFolder = found.resolve(copy);
            assertEquals(names(expectedFolder), names(foundFolder), copy);
            for (String name : names(expectedFolder)) {
                assertArrayEquals(Files.readAllBytes(expectedFolder.resolve(name)),
                    Files.readAllBytes(foundFolder.resolve(name)), copy + "/" + name);
            }
        }
    }

    /** One line per file: folder, name, length and SHA-256. */
    public static List<String> listing(Path store) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String copy : COPIES) {
            for (String name : names(store.resolve(copy))) {
                byte[] bytes = Files.readAllBytes(store.resolve(copy).resolve(name));
                lines.add(copy + "/" + name + " " + bytes.length + " " + hex(sha256(bytes)));
            }
        }
        return lines;
    }

    /** One line per key, sorted: table, key and value in hexadecimal. */
    public static List<String> contents(Store store) throws IOException, StoreFault {
        List<String> lines = new ArrayList<>();
        try (Snapshot snapshot = store.snapshot()) {
            for (String table : store.tableNames()) {
                snapshot.scan(table, new byte[0], (key, value) -> {
                    lines.add(hex(table.getBytes(StandardCharsets.UTF_8)) + " " + hex(key) + " " + hex(value));
                    return true;
                });
            }
        }
        lines.sort(null);
        return lines;
    }

    private static TreeSet<String> names(Path folder) throws IOException {
        TreeSet<String> names = new TreeSet<>();
        try (Stream<Path> files = Files.list(folder)) {
            files.map(file -> file.getFileName().toString()).filter(name -> !name.equals(LOCK)).forEach(names::add);
        }
        return names;
    }

    private static String hex(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : HexFormat.of().formatHex(bytes);
    }

    private static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);   // every JDK has it
        }
    }
}
