package kelphollow.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;

/**
 * One segment, open in both folders: two files with the same bytes. Reads come from any thread; appending and syncing
 * from the writer alone. It is deleted when compaction has replaced it and no snapshot reads it any more.
 */
final class Segment {
    private final long id;
    private final Disk[] disks;
    private final Disk.File[] files;
    private final long firstSequence;
    private long length;
    private int operations;
    private int pins = 1;
    private boolean replaced;

    private Segment(long id, Disk[] disks, Disk.File[] files, long firstSequence, long length) {
        this.id = id;
        this.disks = disks;
        this.files = files;
        this.firstSequence = firstSequence;
        this.length = length;
    }

    /** A new one with its header, safe in both folders. */
    static Segment create(Disk[] disks, StoreId store, long id, long firstSequence) throws IOException {
        String name = Format.segmentName(id);
        Disk.File[] files = new Disk.File[disks.length];
        try {
            for (int i = 0; i < disks.length; i++) {
                files[i] = disks[i].create(name);
                files[i].append(ByteBuffer.wrap(Format.segmentHeader(store, id, firstSequence)));
            }
            for (int i = 0; i < disks.length; i++) {
                files[i].sync();
                disks[i].syncFolder();
            }
        } catch (IOException e) {
            close(files);
            throw e;
        }
        return new Segment(id, disks, files, firstSequence, Format.SEGMENT_HEADER);
    }

    static Segment open(Disk[] disks, Manifest.Entry entry, long length, int operations) throws IOException {
        Disk.File[] files = new Disk.File[disks.length];
        try {
            for (int i = 0; i < disks.length; i++) {
                files[i] = disks[i].open(Format.segmentName(entry.id()));
            }
        } catch (IOException e) {
            close(files);
            throw e;
        }
        Segment segment = new Segment(entry.id(), disks, files, entry.firstSequence(), length);
        segment.operations = operations;
        return segment;
    }

    private static void close(Disk.File[] files) {
        for (Disk.File file : files) {
            try {
                if (file != null) {
                    file.close();
                }
            } catch (IOException e) {
                // what was synced is safe; what was not is promised to nobody
            }
        }
    }

    long id() {
        return id;
    }

    long length() {
        return length;
    }

    int operations() {
        return operations;
    }

    long firstSequence() {
        return firstSequence;
    }

    boolean isEmpty() {
        return operations == 0;
    }

    Manifest.Entry active() {
        return new Manifest.Entry(id, 0, firstSequence, 0, 0, 0);
    }

    Manifest.Entry sealed() {
        return new Manifest.Entry(id, length, firstSequence, operations, 0, 0);
    }

    /** Appends to both copies. After a failure nothing may be appended any more: the copies may differ. */
    void append(ByteBuffer bytes, int ops) throws IOException {
        int count = bytes.remaining();
        for (Disk.File file : files) {
            file.append(bytes.duplicate());
        }
        length += count;
        operations += ops;
    }

    /** Makes both copies safe, one after the other. */
    void sync() throws IOException {
        for (Disk.File file : files) {
            file.sync();
        }
    }

    /** The same side by side: the second copy on the executor, the first here. Both have ended when this returns. */
    void sync(ExecutorService second) throws IOException {
        Future<Void> other = second.submit(() -> {
            files[1].sync();
            return null;
        });
        IOException failed = null;
        try {
            files[0].sync();
        } catch (IOException e) {
            failed = e;
        }
        try {
            other.get();
        } catch (ExecutionException e) {
            if (failed == null) {
                failed = e.getCause() instanceof IOException io ? io : new IOException(e);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            failed = new IOException("interrupted while the second copy was synced");
        }
        if (failed != null) {
            throw failed;
        }
    }

    /** Reads an operation from the first copy in which it is whole; null if it is in neither. */
    Format.Op read(byte[] key, Index.Place place) throws IOException {
        IOException failed = null;
        for (Disk.File file : files) {
            try {
                ByteBuffer bytes = ByteBuffer.allocate(place.length());
                file.read(bytes, place.offset());
                Format.Op op = bytes.hasRemaining() ? null : Format.op(bytes.array(), 0, place.length());
                if (op != null && op.length() == place.length() && op.sequence() == place.sequence()
                    && Format.isSound(op) && java.util.Arrays.equals(bytes.array(), op.keyAt(),
                        op.keyAt() + op.keyLength(), key, 0, key.length)) {
                    return op;
                }
            } catch (IOException e) {
                failed = e;          // the other copy may still be read
            }
        }
        if (failed != null) {
            throw failed;
        }
        return null;
    }

    long size(int which) throws IOException {
        return files[which].size();
    }

    /** Whether the headers of both copies are this segment's. */
    boolean hasHeader(StoreId store) throws IOException {
        for (Disk.File file : files) {
            ByteBuffer header = ByteBuffer.allocate(Format.SEGMENT_HEADER);
            file.read(header, 0);
            if (!java.util.Arrays.equals(header.array(), Format.segmentHeader(store, id, firstSequence))) {
                return false;
            }
        }
        return true;
    }

    /** The whole of one copy. */
    byte[] copy(int which) throws IOException {
        return Disk.all(files[which]);
    }

    /** Replaces one copy by what it should be. A read under way there goes to the other copy. */
    void repair(int which, byte[] image) throws IOException {
        String name = Format.segmentName(id);
        AtomicFile.replace(disks[which], name, name + FolderFiles.REPLACEMENT, image);
        Disk.File old = files[which];
        files[which] = disks[which].open(name);
        old.close();
    }

    /** Keeps the files until {@link #release}; false if they are gone already. */
    synchronized boolean pin() {
        if (pins == 0) {
            return false;
        }
        pins++;
        return true;
    }

    /** Lets the files go; when nobody holds them they are closed and, if replaced, deleted. */
    synchronized void release() {
        if (--pins == 0) {
            close(files);
            if (replaced) {
                delete();
            }
        }
    }

    /** Compaction has put another in its place: the manifests no longer name it. */
    synchronized void replaced() {
        replaced = true;
    }

    private void delete() {
        for (Disk disk : disks) {
            try {
                disk.delete(Format.segmentName(id));
                disk.delete(Format.hintName(id));
            } catch (IOException e) {
                // the next opening finds that the manifest does not name it, and deletes it
            }
        }
    }
}
