package kelphollow.program;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import java.util.logging.Logger;
import java.util.stream.Stream;

/**
 * How the two processes of an upgrade find each other and hand over the tokens of volumes' limits: by files of one folder
 * that is theirs in common. Blocking; not for the scheduler's event loop.
 */
final class ProcessHandover {
    /** No process is found. */
    static final long NO_PROCESS = -1;
    private static final Logger LOG = Logger.getLogger(ProcessHandover.class.getName());
    private static final String ALIVE_PREFIX = "kelphollow-alive-";
    private static final String HANDOVER_PREFIX = "kelphollow-handover-";
    private static final String UNFINISHED = "kelphollow-handover.part";
    // In milliseconds.
    private static final long ALIVE_TIMEOUT = 1_000;
    private static final long POLL_INTERVAL = 20;

    private final Path folder;
    private final long pid;

    /** {@code pid} tells this process from the other one. */
    ProcessHandover(Path folder, long pid) {
        this.folder = folder;
        this.pid = pid;
    }

    private Path aliveFile(long process) {
        return folder.resolve(ALIVE_PREFIX + process);
    }

    private Path handoverFile(long process) {
        return folder.resolve(HANDOVER_PREFIX + process);
    }

    /** Shows that this process lives; to be repeated well within a second. */
    void showAlive() {
        try {
            Path mine = aliveFile(pid);
            if (!Files.exists(mine)) {
                Files.writeString(mine, "");
            }
            Files.setLastModifiedTime(mine, FileTime.fromMillis(System.currentTimeMillis()));
        } catch (IOException e) {
            LOG.fine(() -> "cannot show that this process lives: " + e.getMessage());
        }
    }

    /** Another process that showed within the last second that it lives, or {@link #NO_PROCESS}. */
    long otherProcess() {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).filter(name -> name.startsWith(ALIVE_PREFIX))
                .mapToLong(name -> Long.parseLong(name.substring(ALIVE_PREFIX.length())))
                .filter(process -> process != pid && isFresh(aliveFile(process))).findFirst().orElse(NO_PROCESS);
        } catch (IOException | NumberFormatException e) {
            return NO_PROCESS;
        }
    }

    private static boolean isFresh(Path file) {
        try {
            return System.currentTimeMillis() - Files.getLastModifiedTime(file).toMillis() < ALIVE_TIMEOUT;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Waits until the other process has stopped accepting clients, and returns the tokens of the volumes' limits that it
     * left: from then on only this process spends them. Gives up waiting, with no tokens, once the other shows no life for a
     * second or after {@code timeout} milliseconds.
     */
    Map<String, Double> await(long process, double timeout) throws InterruptedException {
        long until = System.currentTimeMillis() + (long) timeout;
        while (System.currentTimeMillis() < until) {
            Path left = handoverFile(process);
            if (Files.exists(left)) {
                try {
                    return LimitHandoverFile.read(Files.readString(left, StandardCharsets.US_ASCII));
                } catch (IOException | IllegalArgumentException e) {
                    LOG.fine(() -> "handover not complete yet: " + e.getMessage());
                }
            } else if (!isFresh(aliveFile(process))) {
                return Map.of();
            }
            Thread.sleep(POLL_INTERVAL);
        }
        return Map.of();
    }

    /** Hands over the tokens of this process's limits, once it accepts no new clients. */
    void handOver(Map<String, Double> tokens) {
        Path unfinished = folder.resolve(UNFINISHED);
        try {
            Files.writeString(unfinished, LimitHandoverFile.text(tokens), StandardCharsets.US_ASCII);
            Files.move(unfinished, handoverFile(pid), StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.warning("limits not handed over: " + e.getMessage());
        }
    }
}
