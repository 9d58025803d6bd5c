package kelphollow.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** Writing of whole files so that they are there entirely or not at all. */
final class AtomicFile {
    private static final int PIECE = 256 * 1024;

    private AtomicFile() {}

    /** Writes a new file and makes it safe; one of that name left by a crash is replaced. */
    static void write(Disk disk, String name, byte[] bytes) throws IOException {
        disk.delete(name);
        try (Disk.File file = disk.create(name)) {
            file.append(ByteBuffer.wrap(bytes));
            file.sync();
        }
    }

    /** Writes under the other name first, makes that safe, and only then renames it. */
    static void replace(Disk disk, String name, String newName, byte[] bytes) throws IOException {
        write(disk, newName, bytes);
        disk.rename(newName, name);
        disk.syncFolder();
    }

    /** The whole file, or nothing at all where there is none. */
    static byte[] read(Disk disk, String name) throws IOException {
        if (!disk.has(name)) {
            return new byte[0];
        }
        try (Disk.File file = disk.open(name)) {
            return Disk.all(file);
        }
    }

    /** The same, but gives {@code like} itself where the file holds just that: two equal copies need room for one. */
    static byte[] read(Disk disk, String name, byte[] like) throws IOException {
        if (!disk.has(name)) {
            return new byte[0];
        }
        try (Disk.File file = disk.open(name)) {
            return isSame(file, like) ? like : Disk.all(file);
        }
    }

    private static boolean isSame(Disk.File file, byte[] like) throws IOException {
        if (file.size() != like.length) {
            return false;
        }
        ByteBuffer piece = ByteBuffer.allocate(Math.min(like.length, PIECE));
        for (int at = 0; at < like.length; at += piece.position()) {
            piece.clear().limit(Math.min(PIECE, like.length - at));
            file.read(piece, at);
            int end = at + piece.position();
            if (piece.hasRemaining() || !Arrays.equals(piece.array(), 0, piece.position(), like, at, end)) {
                return false;
            }
        }
        return true;
    }
}
