package kelphollow.store;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Writing of whole files so that they are there entirely or not at all. */
final class WholeFile {
    private WholeFile() { }

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
}
