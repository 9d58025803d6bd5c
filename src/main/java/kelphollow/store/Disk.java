package kelphollow.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;

/**
 * The file system operations that the store needs on one flat folder. Tests implement it to interrupt operations, to lose or
 * reorder unsynced data in a simulated crash, and to inject I/O errors. Calls block; none is made on an event loop. Only one
 * thread at a time may create, rename and delete files.
 */
public interface Disk {
    /** Path of the folder, for messages. */
    String path();

    /** Creates the folder if it does not exist and checks that it is readable and writable. */
    void prepare() throws IOException;

    /** The names of all files in the folder. */
    Set<String> names() throws IOException;

    /** Whether a file of this name exists. */
    default boolean exists(String name) throws IOException {
        return names().contains(name);
    }

    /** Creates an empty file, which must not exist yet. */
    File create(String name) throws IOException;

    /** Opens an existing file for reading and appending. */
    File open(String name) throws IOException;

    /** Renames a file atomically, replacing a file of the new name; durable only after {@link #syncFolder}. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists; durable only after {@link #syncFolder}. */
    void delete(String name) throws IOException;

    /** Makes all preceding creations, renames and deletions durable. */
    void syncFolder() throws IOException;

    /** Acquires an exclusive lock that is held until it is closed; returns null if it is held already. */
    Closeable lock(String name) throws IOException;

    /** One file. Any thread may read; only one at a time may append, sync or close. */
    interface File extends Closeable {
        /** Size in bytes. */
        long size() throws IOException;

        /** Reads from this offset until the buffer is full or the file ends. */
        void read(ByteBuffer into, long offset) throws IOException;

        /** Appends all remaining bytes of the buffer. A failed append may have written a part of them. */
        void append(ByteBuffer bytes) throws IOException;

        /** Makes all appended bytes durable; after a failure it is unknown which of them are. */
        void sync() throws IOException;
    }

    /** Reads a whole file. */
    static byte[] readAll(File file) throws IOException {
        long size = file.size();
        if (size > Format.MAX_FILE_BYTES) {
            throw new IOException("file is " + size + " bytes long, the maximum is " + Format.MAX_FILE_BYTES);
        }
        ByteBuffer bytes = ByteBuffer.allocate((int) size);
        file.read(bytes, 0);
        if (bytes.hasRemaining()) {
            throw new IOException("file ended after " + bytes.position() + " bytes, expected " + size);
        }
        return bytes.array();
    }
}
