package kelphollow.program;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.logging.Logger;

/**
 * Shows other processes that this one is alive, by a lock that the kernel frees when the process ends, so that no clock is
 * needed. The file must not be opened by other code of the holder: closing it would free the lock.
 */
final class LivenessLock {
    private static final Logger LOG = Logger.getLogger(LivenessLock.class.getName());

    private final Path file;
    /** Open as long as the process runs. */
    private FileChannel held;
    private boolean failureLogged;

    LivenessLock(Path file) {
        this.file = file;
    }

    /**
     * Takes the lock and keeps it until the process ends. If that fails the file is removed, so that other processes judge
     * by the liveness file alone.
     */
    void hold() {
        try {
            FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            try {
                if (channel.tryLock() != null) {
                    held = channel;
                }
            } finally {
                if (held == null) {
                    channel.close();
                    Files.deleteIfExists(file);
                }
            }
        } catch (IOException | OverlappingFileLockException e) {
            if (!failureLogged) {
                failureLogged = true;
                LOG.warning("liveness lock " + file + " not taken, tried again: " + e.getMessage());
            }
        }
    }

    /** Removes the file of a process that has ended. */
    void remove() throws IOException {
        Files.deleteIfExists(file);
    }

    boolean isHeldHere() {
        return held != null;
    }

    /** Whether a process has made this file, so that its lock tells whether it is alive. */
    boolean exists() {
        return Files.exists(file);
    }

    /** Whether the process that made the file is alive. */
    boolean isHeld() {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE); FileLock lock = channel.tryLock()) {
            return lock == null;
        } catch (OverlappingFileLockException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
