package kelphollow.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import kelphollow.protocol.json.Json;

/**
 * The events of all parties of a run, one JSON object per line, timed by one monotonic clock in milliseconds since the run
 * began. Thread-safe.
 */
final class History implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final List<Map<String, Object>> lines = new ArrayList<>();
    private final Writer file;

    /** Opens a history; with a null {@code file} it is kept in memory only. */
    History(Path file) throws IOException {
        this.file = file == null ? null : Files.newBufferedWriter(file);
    }

    /** Returns the time since the run began, in milliseconds. */
    double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Adds an event of a party; {@code keysAndValues} holds further keys, each followed by its value. */
    synchronized void add(String party, String what, Object... keysAndValues) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("at", now());
        line.put("party", party);
        line.put("what", what);
        for (int i = 0; i < keysAndValues.length; i += 2) {
            line.put((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        lines.add(line);
        if (file != null) {
            try {
                file.write(json(line) + "\n");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    synchronized List<Map<String, Object>> lines() {
        return new ArrayList<>(lines);
    }

    /** Counts the lines since that time that match. */
    synchronized long count(double from, Predicate<HistoryLine> matches) {
        long count = 0;
        for (int i = lines.size() - 1; i >= 0; i--) {
            HistoryLine line = new HistoryLine(lines.get(i));
            if (line.at() < from) {
                break;
            }
            count += matches.test(line) ? 1 : 0;
        }
        return count;
    }

    @Override public synchronized void close() throws IOException {
        if (file != null) {
            file.close();
        }
    }

    /** Formats a value of maps, lists, strings, numbers and booleans as JSON. */
    static String json(Object value) {
        return Json.write(value);
    }
}
