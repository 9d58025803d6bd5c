package kelphollow.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** The temporary folder of a benchmark, in the one that {@code -Dkelphollow.bench.folder} names or the system's. */
final class BenchFolder {
    private static final String PREFIX = "bench";

    private BenchFolder() {}

    static Path create() throws IOException {
        String parent = System.getProperty("kelphollow.bench.folder");
        return parent == null ? Files.createTempDirectory(PREFIX) : Files.createTempDirectory(Path.of(parent), PREFIX);
    }

    /** Deletes the folder with all that is in it. */
    static void delete(Path folder) throws IOException {
        try (Stream<Path> contents = Files.walk(folder)) {
            for (Path path : contents.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
