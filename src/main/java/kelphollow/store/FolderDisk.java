package kelphollow.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Set;
import java.util.TreeSet;

/**
 * A folder of the operating system's file system. Syncs files with {@code fdatasync} and the folder with {@code fsync}.
 * Thread-safe to the extent that {@link Disk} requires.
 */
public final class FolderDisk implements Disk {
    private final Path folder;

    /** The folder need not exist yet. */
    public FolderDisk(Path folder) {
        this.folder = folder;
    }

    @Override public String path() {
        return folder.toString();
    }

    @Override public void prepare() throws IOException {
        Files.createDirectories(folder);
        if (!Files.isWritable(folder) || !Files.isReadable(folder)) {
            throw new IOException(folder + " is not readable and writable");
        }
    }

    @Override public Set<String> names() throws IOException {
        Set<String> names = new TreeSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            files.forEach(file -> names.add(file.getFileName().toString()));
        }
        return names;
    }

    @Override public boolean exists(String name) {
        return Files.exists(folder.resolve(name));
    }

    @Override public File create(String name) throws IOException {
        return new Channel(FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE_NEW,
            StandardOpenOption.READ, StandardOpenOption.WRITE));
    }

    @Override public File open(String name) throws IOException {
        return new Channel(FileChannel.open(folder.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE));
    }

    @Override public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE,
            StandardCopyOption.REPLACE_EXISTING);
    }

    @Override public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override public void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override public Closeable lock(String name) throws IOException {
        FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE,
            StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;          // another store in this process holds the lock
        }
        if (lock == null) {
            channel.close();
            return null;
        }
        return channel;
    }

    private static final class Channel implements File {
        /** Bounds direct memory: the JDK reads through a direct buffer as long as the read and caches one per thread. */
        private static final int MAX_READ_BYTES = 256 * 1024;
        private final FileChannel channel;
        private long end;

        Channel(FileChannel channel) throws IOException {
            this.channel = channel;
            this.end = channel.size();
        }

        @Override public long size() throws IOException {
            return channel.size();
        }

        @Override public void read(ByteBuffer into, long offset) throws IOException {
            long at = offset;
            int limit = into.limit();
            while (into.position() < limit) {
                into.limit(Math.min(limit, into.position() + MAX_READ_BYTES));
                int count = channel.read(into, at);
                into.limit(limit);
                if (count < 0) {
                    return;
                }
                at += count;
            }
        }

        @Override public void append(ByteBuffer bytes) throws IOException {
            while (bytes.hasRemaining()) {
                end += channel.write(bytes, end);
            }
        }

        @Override public void sync() throws IOException {
            channel.force(false);
        }

        @Override public void close() throws IOException {
            channel.close();
        }
    }
}
