package review;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line an event, with milliseconds of the monotonic clock since the run began. Thread-safe. */
final class Record implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final BufferedWriter file;

    Record(Path path) throws IOException {
        file = Files.newBufferedWriter(path, StandardCharsets.UTF_8);
    }

    /** Milliseconds since the run began. */
    double now() {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    /** Adds a line and returns its time. */
    synchronized double add(String format, Object... arguments) {
        double at = now();
        try {
            file.write(String.format(Locale.ROOT, "%10.1f %s%n", at, String.format(Locale.ROOT, format, arguments)));
            file.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return at;
    }

    /** Adds a line and prints it. */
    void say(String format, Object... arguments) {
        add(format, arguments);
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }

    @Override public synchronized void close() throws IOException {
        file.close();
    }
}
