package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, one line each, with milliseconds since the start. */
final class Record {
    private static final long STARTED = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static void open(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static double now() {
        return (System.nanoTime() - STARTED) / 1e6;
    }

    /** Writes a line to the record only. */
    static synchronized void line(String format, Object... values) {
        out.printf("%9.1f ", now());
        out.printf(format, values);
        out.println();
    }

    /** Writes a line to the record and to standard output. */
    static synchronized void say(String format, Object... values) {
        line(format, values);
        System.out.printf(format, values);
        System.out.println();
    }
}
