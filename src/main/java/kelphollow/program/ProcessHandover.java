package kelphollow.program;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Lets the two processes of an upgrade find each other and hand over the tokens of the volumes' rate limits, through files
 * in a shared folder. Blocks on file access; must not run on the scheduler's event loop.
 */
final class ProcessHandover {
    /** Returned if no other process is alive. */
    static final long NO_PROCESS = -1;
    private static final Logger LOG = Logger.getLogger(ProcessHandover.class.getName());
    private static final String ALIVE_PREFIX = "kelphollow-alive-";
    private static final String LOCK_PREFIX = "kelphollow-lock-";
    private static final String HANDOVER_PREFIX = "kelphollow-handover-";
    private static final String TEMPORARY_PREFIX = "kelphollow-handover.part-";
    private static final String TAKEN_PREFIX = "kelphollow-taken-";
    private static final String LIST_PREFIX = "kelphollow-endpoints-";
    private static final long ALIVE_TIMEOUT_MS = 1_000;
    private static final long POLL_INTERVAL_MS = 20;
    private static final double NANOS_PER_MS = 1e6;

    private final Path folder;
    private final long pid;
    private final LivenessLock liveness;

    /** {@code pid} is the id of this process, which names its files. */
    ProcessHandover(Path folder, long pid) {
        this.folder = folder;
        this.pid = pid;
        this.liveness = liveness(pid);
    }

    private Path aliveFile(long process) {
        return folder.resolve(ALIVE_PREFIX + process);
    }

    private LivenessLock liveness(long process) {
        return new LivenessLock(folder.resolve(LOCK_PREFIX + process));
    }

    private Path handoverFile(long process) {
        return folder.resolve(HANDOVER_PREFIX + process);
    }

    /** The hand-over of a process once another one has taken it. */
    private Path takenFile(long process) {
        return folder.resolve(TAKEN_PREFIX + process);
    }

    /** The endpoint list that a process keeps for the other one of an upgrade. */
    Path listFile(long process) {
        return folder.resolve(LIST_PREFIX + process);
    }

    /**
     * Removes what an ended process of the same id has left, which would be taken for this process's hand-over, and the
     * files of other ended processes but for a hand-over that was not taken. The folder counts as memory.
     */
    void removeLeftovers() throws IOException {
        Files.deleteIfExists(handoverFile(pid));
        Files.deleteIfExists(takenFile(pid));
        for (long process : processes()) {
            if (process != pid && !isAlive(process)) {
                Files.deleteIfExists(aliveFile(process));
                Files.deleteIfExists(takenFile(process));
                Files.deleteIfExists(listFile(process));
                liveness(process).remove();
            }
        }
    }

    /** All processes that have a liveness file. */
    private Set<Long> processes() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).filter(name -> name.startsWith(ALIVE_PREFIX))
                .map(name -> Long.parseLong(name.substring(ALIVE_PREFIX.length()))).collect(Collectors.toSet());
        } catch (NumberFormatException e) {
            throw new IOException("a liveness file is not named by a process id", e);
        }
    }

    /**
     * Updates this process's liveness file, and takes its lock the first time. The file alone, repeated well within a
     * second, is for processes of earlier releases.
     */
    void showAlive() {
        if (!liveness.isHeldHere()) {
            liveness.hold();
        }
        try {
            Path mine = aliveFile(pid);
            if (!Files.exists(mine)) {
                Files.writeString(mine, "");
            }
            Files.setLastModifiedTime(mine, FileTime.fromMillis(System.currentTimeMillis()));
        } catch (IOException e) {
            LOG.fine(() -> "liveness file " + aliveFile(pid) + " not updated: " + e.getMessage());
        }
    }

    /** Returns all other live processes. */
    Set<Long> others() {
        try {
            return processes().stream().filter(process -> process != pid && isAlive(process)).collect(Collectors.toSet());
        } catch (IOException e) {
            return Set.of();
        }
    }

    /**
     * Returns another live process whose limits no process has taken over, or {@link #NO_PROCESS}: of several one that has
     * not handed over, since an older one may still be answering its last requests.
     */
    long predecessor() {
        return others().stream().filter(process -> !Files.exists(takenFile(process)))
            .min(Comparator.comparing(process -> Files.exists(handoverFile(process)))).orElse(NO_PROCESS);
    }

    private boolean isAlive(long process) {
        LivenessLock lock = liveness(process);
        return lock.exists() ? lock.isHeld() : isFresh(aliveFile(process));
    }

    /** For processes of earlier releases, which have no lock; a step of the wall clock makes them look dead for a moment. */
    private static boolean isFresh(Path file) {
        try {
            long age = System.currentTimeMillis() - Files.getLastModifiedTime(file).toMillis();
            return Math.abs(age) < ALIVE_TIMEOUT_MS;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Waits until the other process has stopped accepting clients and returns the tokens it handed over, which only this
     * process uses from then on. Returns nothing if the other process has ended without, if its hand-over is complete but
     * cannot be parsed, or after {@code timeout} milliseconds: then what it has spent is unknown.
     */
    Optional<Map<String, Double>> await(long process, double timeout) throws InterruptedException {
        long until = System.nanoTime() + (long) (timeout * NANOS_PER_MS);
        while (System.nanoTime() - until < 0) {
            boolean wasAlive = isAlive(process);   // before the file: a process may hand over, then end
            try {
                if (Files.exists(handoverFile(process))) {
                    return take(process);
                }
            } catch (IOException e) {
                LOG.fine(() -> "handover of process " + process + " cannot be taken: " + e);
            }
            if (!wasAlive) {
                LOG.warning(() -> "process " + process + " has ended without handing over its limits");
                return Optional.empty();
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        LOG.warning(() -> "process " + process + " has not handed over its limits within " + (long) timeout + " ms");
        return Optional.empty();
    }

    /** Takes the hand-over, so that no other process does. Returns nothing if it cannot be parsed, now or later. */
    private Optional<Map<String, Double>> take(long process) throws IOException {
        Path left = handoverFile(process);
        String text = Files.readString(left, StandardCharsets.UTF_8);
        if (!LimitHandoverFile.isComplete(text)) {
            throw new IOException(left + " is truncated");
        }
        Optional<Map<String, Double>> tokens = parse(process, text);
        Files.move(left, takenFile(process), StandardCopyOption.ATOMIC_MOVE);
        tokens.ifPresent(read -> LOG.info(() -> "process " + pid + " takes over the limits of process " + process + ": "
            + summary(read)));
        return tokens;
    }

    private static Optional<Map<String, Double>> parse(long process, String text) {
        try {
            return Optional.of(LimitHandoverFile.read(text));
        } catch (IllegalArgumentException e) {
            LOG.warning(() -> "handover of process " + process + " cannot be parsed: " + e.getMessage());
            return Optional.empty();
        }
    }

    private static String summary(Map<String, Double> tokens) {
        double units = tokens.values().stream().mapToDouble(Double::doubleValue).sum();
        return tokens.size() + " volumes, " + Math.round(units) + " units";
    }

    /** Writes the tokens of this process's limits for the next process; called once no new clients are accepted. */
    void handOver(Map<String, Double> tokens) {
        Path temporary = folder.resolve(TEMPORARY_PREFIX + pid);
        try {
            Files.writeString(temporary, LimitHandoverFile.text(tokens), StandardCharsets.UTF_8);
            Files.move(temporary, handoverFile(pid), StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
            LOG.info(() -> "process " + pid + " has handed over its limits: " + summary(tokens));
        } catch (IOException e) {
            LOG.warning("tokens of volume limits not handed over: " + e.getMessage());
        }
    }
}
