package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A temporary folder, removed with all that it holds. */
final class Temporary implements AutoCloseable {
    private final Path path;

    Temporary() throws IOException {
        path = Files.createTempDirectory("kelphollow-review");
    }

    Path path() {
        return path;
    }

    @Override public void close() throws IOException {
        try (Stream<Path> all = Files.walk(path)) {
            for (Path each : List.copyOf(all.sorted(Comparator.reverseOrder()).toList())) {
                Files.deleteIfExists(each);
            }
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }
}
