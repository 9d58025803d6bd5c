package kelphollow.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;

/**
 * What the store needs of a file system: one flat folder of named files. The seam at which tests cut operations off, let a
 * crash lose or reorder what was not synced, and make operations fail. Calls block; none is made on an event loop. Files
 * may be created, renamed and deleted by one thread at a time.
 */
public interface Disk {
    /** Where it is, for messages. */
    String path();

    /** Makes sure that the folder exists and can be used. */
    void prepare() throws IOException;

    /** The names of all files in the folder. */
    Set<String> names() throws IOException;

    /** Whether there is a file of this name. */
    default boolean exists(String name) throws IOException {
        return names().contains(name);
    }

    /** Creates an empty file, which must not exist yet. */
    File create(String name) throws IOException;

    /** Opens a file that exists, for reading and for appending behind its end. */
    File open(String name) throws IOException;

    /** Renames a file and replaces the one that had the name, in one step; safe only after {@link #syncFolder}. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file, if it exists; safe only after {@link #syncFolder}. */
    void delete(String name) throws IOException;

    /** Makes names given, changed and deleted so far safe. */
    void syncFolder() throws IOException;

    /** Keeps all other processes out until it is closed; null when another one holds it. */
    Closeable lock(String name) throws IOException;

    /** One file. Any thread may read, one at a time may do the rest. */
    interface File extends Closeable {
        /** Its size in bytes. */
        long size() throws IOException;

        /** Fills the buffer from this offset on, as far as the file goes. */
        void read(ByteBuffer into, long offset) throws IOException;

        /** Writes all that remains in the buffer behind the end, or fails. */
        void append(ByteBuffer bytes) throws IOException;

        /** Makes what was appended so far safe; after a failure it is not known what of it is. */
        void sync() throws IOException;
    }

    /** All bytes of a file. */
    static byte[] readAll(File file) throws IOException {
        long size = file.size();
        if (size > Format.MAX_FILE_BYTES) {
            throw new IOException("a file of " + size + " bytes is none of the store's");
        }
        ByteBuffer bytes = ByteBuffer.allocate((int) size);
        file.read(bytes, 0);
        if (bytes.hasRemaining()) {
            throw new IOException("the file ends at " + bytes.position() + " of " + size + " bytes");
        }
        return bytes.array();
    }
}
