package kelphollow.program;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Logger;
import kelphollow.maintenance.MaintenanceSet;

/**
 * The file that lists the nodes in maintenance, shared by both processes of an upgrade. A change is read, made and written
 * under a lock that both processes use, so that neither overwrites what the other has acknowledged; the lock of a process
 * that is killed ends with it. A change that cannot be written is kept and tried again. Not thread-safe.
 */
final class MaintenanceFile {
    private static final Logger LOG = Logger.getLogger(MaintenanceFile.class.getName());
    private static final String NAME = "kelphollow-bans";
    /** The other process holds the lock for the time of a small write, or for as long as it is stopped. */
    private static final long LOCK_TIMEOUT_MS = 500;
    private static final long LOCK_RETRY_MS = 5;

    private final Path file;
    /** The content that this process last wrote or read; {@link #readChange} reports only other content. */
    private String lastText = "";
    /** Changes that are not in the file yet, by node: whether it is in maintenance. */
    private final Map<String, Boolean> unsaved = new LinkedHashMap<>();

    MaintenanceFile(Path file) {
        this.file = file;
    }

    /** Returns the default path, in {@code $TMPDIR}: the only folder that is writable. */
    static Path path() {
        return inTemporaryFolder(NAME);
    }

    /** Returns the path for one of several instances on the same machine. */
    static Path path(String instance) {
        return inTemporaryFolder(NAME + "-" + instance);
    }

    private static Path inTemporaryFolder(String name) {
        String folder = System.getenv("TMPDIR");
        return Path.of(folder == null || folder.isEmpty() ? System.getProperty("java.io.tmpdir") : folder, name);
    }

    /**
     * Starts or ends the maintenance of one node in the file, whatever another process has changed meanwhile.
     *
     * @return the nodes in maintenance after the change
     * @throws IOException if it cannot be written now; {@link #readChange} tries again
     */
    Set<String> change(String node, boolean inMaintenance) throws IOException {
        unsaved.put(node, inMaintenance);
        return save();
    }

    private Set<String> save() throws IOException {
        try (FileChannel channel = FileChannel.open(sibling(".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
             FileLock lock = lock(channel)) {
            String text = readText();
            Set<String> nodes = withUnsaved(isComplete(text) ? text : lastText);
            write(nodes);
            unsaved.clear();
            return nodes;
        }
    }

    private static FileLock lock(FileChannel channel) throws IOException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOCK_TIMEOUT_MS);
        while (true) {
            FileLock lock = tryLock(channel);
            if (lock != null) {
                return lock;
            }
            if (System.nanoTime() > end) {
                throw new IOException("the other process has held the lock for " + LOCK_TIMEOUT_MS + " ms");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LOCK_RETRY_MS));
        }
    }

    private static FileLock tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;                    // held by another instance in this process
        }
    }

    private Path sibling(String suffix) {
        return file.resolveSibling(file.getFileName() + suffix);
    }

    private String readText() throws IOException {
        return Files.exists(file) ? Files.readString(file, StandardCharsets.US_ASCII) : "";
    }

    private static boolean isComplete(String text) {
        try {
            MaintenanceSet.parse(text);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Returns the nodes of the file's text, which may be empty, with the changes that are not in it yet. */
    private Set<String> withUnsaved(String text) {
        Set<String> nodes = text.isEmpty() ? new TreeSet<>() : MaintenanceSet.parse(text);
        unsaved.forEach((node, inMaintenance) -> {
            if (inMaintenance) {
                nodes.add(node);
            } else {
                nodes.remove(node);
            }
        });
        return nodes;
    }

    /** Writes a temporary file and renames it, so that a reader never sees a partial file. */
    private void write(Set<String> nodes) throws IOException {
        String text = MaintenanceSet.format(nodes);
        Path temporary = sibling(".part");
        Files.writeString(temporary, text, StandardCharsets.US_ASCII);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        lastText = text;
    }

    /** Returns the nodes in maintenance if another process has changed the file or a kept change was written, else null. */
    Set<String> readChange() {
        String text;
        try {
            if (!unsaved.isEmpty()) {
                return save();
            }
            text = readText();
        } catch (IOException e) {
            return null;
        }
        if (text.equals(lastText) || text.isEmpty()) {
            return null;
        }
        try {
            Set<String> nodes = MaintenanceSet.parse(text);
            lastText = text;
            return nodes;
        } catch (IllegalArgumentException e) {
            LOG.fine(() -> "maintenance file " + file + " ignored until it can be parsed: " + e.getMessage());
            return null;
        }
    }
}
