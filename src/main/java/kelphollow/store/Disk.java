package kelphollow.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;

/**
 * What the store asks of a file system: one folder, flat, with names. The seam at which tests cut operations off, let
 * a crash forget or reorder what no sync has made safe, and make them fail. Calls block; none is made on an event loop.
 */
public interface Disk {
    /** Where it is, for messages. */
    String place();

    /** Makes sure that the folder is there and can be used. */
    void prepare() throws IOException;

    /** The names of all files in the folder. */
    Set<String> names() throws IOException;

    default boolean has(String name) throws IOException {
        return names().contains(name);
    }

    /** A new, empty file that must not be there yet. */
    File create(String name) throws IOException;

    /** A file that is there, for reading and for appending behind its end. */
    File open(String name) throws IOException;

    /** Gives a file another name and replaces what had it, in one step; safe only after {@link #syncFolder}. */
    void rename(String from, String to) throws IOException;

    void delete(String name) throws IOException;

    /** Makes names given, changed and deleted so far safe. */
    void syncFolder() throws IOException;

    /** Keeps all other processes out until it is closed; null when one is in already. */
    Closeable lock(String name) throws IOException;

    /** One file. Reads may come from several threads, the rest from one. */
    interface File extends Closeable {
        long size() throws IOException;

        /** Fills the buffer from this offset on, as far as the file goes. */
        void read(ByteBuffer into, long offset) throws IOException;

        /** Writes all that remains in the buffer behind the end, or fails. */
        void append(ByteBuffer bytes) throws IOException;

        /** Makes what was appended so far safe; after a failure nobody knows what of it is. */
        void sync() throws IOException;
    }

    /** The whole of a file. */
    static byte[] all(File file) throws IOException {
        long size = file.size();
        if (size > Format.LARGEST_FILE) {
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
