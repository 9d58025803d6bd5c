package kelphollow.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** Reads whole files and replaces them atomically. Stateless; blocks on the disk. */
final class AtomicFile {
    private static final int CHUNK_BYTES = 256 * 1024;

    private AtomicFile() {}

    /** Writes and syncs a new file. Deletes a file of that name first, since a crash may have left a partial one. */
    static void write(Disk disk, String name, byte[] bytes) throws IOException {
        disk.delete(name);
        try (Disk.File file = disk.create(name)) {
            file.append(ByteBuffer.wrap(bytes));
            file.sync();
        }
    }

    /** Replaces a file atomically: writes and syncs the temporary file, renames it, and syncs the folder. */
    static void replace(Disk disk, String name, String temporaryName, byte[] bytes) throws IOException {
        write(disk, temporaryName, bytes);
        disk.rename(temporaryName, name);
        disk.syncFolder();
    }

    /** Returns the contents of a file, or an empty array if the file does not exist. */
    static byte[] read(Disk disk, String name) throws IOException {
        if (!disk.exists(name)) {
            return new byte[0];
        }
        try (Disk.File file = disk.open(name)) {
            return Disk.readAll(file);
        }
    }

    /** Like {@link #read(Disk, String)}, but returns the {@code expected} array itself if the file has these bytes. */
    static byte[] read(Disk disk, String name, byte[] expected) throws IOException {
        if (!disk.exists(name)) {
            return new byte[0];
        }
        try (Disk.File file = disk.open(name)) {
            return isEqual(file, expected) ? expected : Disk.readAll(file);
        }
    }

    private static boolean isEqual(Disk.File file, byte[] expected) throws IOException {
        if (file.size() != expected.length) {
            return false;
        }
        ByteBuffer chunk = ByteBuffer.allocate(Math.min(expected.length, CHUNK_BYTES));
        for (int at = 0; at < expected.length; at += chunk.position()) {
            chunk.clear().limit(Math.min(CHUNK_BYTES, expected.length - at));
            file.read(chunk, at);
            int end = at + chunk.position();
            if (chunk.hasRemaining() || !Arrays.equals(chunk.array(), 0, chunk.position(), expected, at, end)) {
                return false;
            }
        }
        return true;
    }
}
