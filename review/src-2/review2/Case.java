package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What all cases share: the record, the temporary folder, the processes and the exit code. */
abstract class Case {
    private static final long LONGEST_MS = 115_000;

    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;

    Case() throws IOException {
        folder = Files.createTempDirectory("kelphollow-review");
    }

    /** Runs the case; returns true if the rule held. Throws NotRunException if it could not run. */
    abstract boolean run() throws Exception;

    /** The case could not run. */
    static final class NotRunException extends Exception {
        private static final long serialVersionUID = 1L;

        NotRunException(String message) {
            super(message);
        }
    }

    /** Creates a case. */
    interface Factory {
        Case create() throws Exception;
    }

    /** Runs a case with the record file as the only argument, and ends with its exit code. */
    static void main(Factory factory, String[] arguments) {
        Case started = null;
        int code;
        try {
            Record.open(Path.of(arguments[0]));
            started = factory.create();
            Record.line("TROUBLE=%s", started.trouble ? "1" : "0");
            endLater(started);
            boolean held = started.run();
            Record.say(held ? "the rule held" : "THE RULE WAS BROKEN");
            code = held ? 0 : 1;
        } catch (Throwable e) {
            System.out.println("the case could not run: " + e);
            code = 2;
        }
        end(started, code);
    }

    /** Ends a case that takes too long. */
    private static void endLater(Case started) {
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(LONGEST_MS);
                Record.say("the case takes too long: it could not run");
                end(started, 2);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        limit.setDaemon(true);
        limit.start();
    }

    private static synchronized void end(Case started, int code) {
        Scheduler.killAll();
        if (started != null) {
            clear(started);
        }
        Runtime.getRuntime().halt(code);
    }

    /** Copies the ends of the logs to the record, and removes the folder. */
    private static void clear(Case started) {
        try (Stream<Path> files = Files.walk(started.folder)) {
            List<Path> all = files.sorted(Comparator.reverseOrder()).toList();
            for (Path log : all) {
                if (log.toString().endsWith(".log")) {
                    List<String> lines = Files.readAllLines(log);
                    Record.line("the first and last lines of %s:", log.getFileName());
                    for (int i = 0; i < lines.size(); i++) {
                        if (i < 20 || i >= lines.size() - 10) {
                            String line = lines.get(i);
                            Record.line("| %s", line.length() > 300 ? line.substring(0, 300) + "..." : line);
                        }
                    }
                }
            }
            for (Path file : all) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            Record.line("folder not removed: %s", e);
        }
    }
}
