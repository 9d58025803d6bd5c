package kelphollow.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Manages a benchmark's temporary folder, in {@code -Dkelphollow.bench.folder} or else the system's temporary folder. */
final class BenchFolder {
    private static final String PREFIX = "bench";

    private BenchFolder() {}

    static Path create() throws IOException {
        String parent = System.getProperty("kelphollow.bench.folder");
        return parent == null ? Files.createTempDirectory(PREFIX) : Files.createTempDirectory(Path.of(parent), PREFIX);
    }

    /** Deletes the folder and its contents. */
    static void delete(Path folder) throws IOException {
        try (Stream<Path> contents = Files.walk(folder)) {
            for (Path path : contents.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
