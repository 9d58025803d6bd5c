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
 * What all parties did, one JSON object a line, on one monotonic clock: milliseconds since the run began. Safe from any
 * thread.
 */
final class History implements AutoCloseable {
    private final long began = System.nanoTime();
    private final List<Map<String, Object>> lines = new ArrayList<>();
    private final Writer file;

    /** {@code file} may be null: the history is kept in memory alone. */
    History(Path file) throws IOException {
        this.file = file == null ? null : Files.newBufferedWriter(file);
    }

    /** In milliseconds since the run began. */
    double now() {
        return (System.nanoTime() - began) / 1e6;
    }

    /** One event of a party; {@code more} holds keys and values in turn. */
    synchronized void add(String party, String what, Object... more) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("at", now());
        line.put("party", party);
        line.put("what", what);
        for (int i = 0; i < more.length; i += 2) {
            line.put((String) more[i], more[i + 1]);
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

    /** How many lines since that time fit. */
    synchronized long count(double from, Predicate<HistoryLine> fits) {
        long count = 0;
        for (int i = lines.size() - 1; i >= 0; i--) {
            HistoryLine line = new HistoryLine(lines.get(i));
            if (line.at() < from) {
                break;
            }
            count += fits.test(line) ? 1 : 0;
        }
        return count;
    }

    @Override public synchronized void close() throws IOException {
        if (file != null) {
            file.close();
        }
    }

    /** Any value of maps, lists, texts, numbers and booleans as JSON. */
    static String json(Object value) {
        return Json.write(value);
    }
}
