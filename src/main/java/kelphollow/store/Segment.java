package kelphollow.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;

/**
 * One segment, open in both folders: two files with the same bytes. Any thread may read; only the writer's thread, or the
 * thread that creates the segment, may append and sync. Reference-counted by pins: the files are deleted once compaction has
 * replaced the segment and the last reader has released it.
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

    /** Creates a segment that holds only its header, synced in both folders. */
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
        return new Segment(id, disks, files, firstSequence, Format.SEGMENT_HEADER_BYTES);
    }

    /** Opens an existing segment; {@code length} and {@code operations} are what recovery found. */
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
                // ignored: synced data is safe, and no durability was promised for the rest
            }
        }
    }

    long id() {
        return id;
    }

    /** Length of one copy, in bytes. */
    long length() {
        return length;
    }

    /** Lower bound of the sequences of its operations. */
    long firstSequence() {
        return firstSequence;
    }

    boolean isEmpty() {
        return operations == 0;
    }

    /** Its entry in the manifest while it is the active segment. */
    Manifest.Entry activeEntry() {
        return new Manifest.Entry(id, 0, firstSequence, 0, 0, 0);
    }

    /** Its entry in the manifest once it is sealed, without a hint. */
    Manifest.Entry sealedEntry() {
        return new Manifest.Entry(id, length, firstSequence, operations, 0, 0);
    }

    /** Appends to both copies. After a failure nothing more may be appended, since the copies may differ. */
    void append(ByteBuffer bytes, int operationCount) throws IOException {
        int count = bytes.remaining();
        for (Disk.File file : files) {
            file.append(bytes.duplicate());
        }
        length += count;
        operations += operationCount;
    }

    /** Syncs both copies, one after the other. */
    void sync() throws IOException {
        for (Disk.File file : files) {
            file.sync();
        }
    }

    /** Syncs the second copy on the executor and the first on this thread, in parallel; waits for both. */
    void sync(ExecutorService secondCopy) throws IOException {
        Future<Void> second = secondCopy.submit(() -> {
            files[1].sync();
            return null;
        });
        IOException failure = null;
        try {
            files[0].sync();
        } catch (IOException e) {
            failure = e;
        }
        try {
            second.get();
        } catch (ExecutionException e) {
            if (failure == null) {
                failure = e.getCause() instanceof IOException io ? io : new IOException(e);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            failure = new IOException("interrupted while waiting for the sync of " + disks[1].path() + "/"
                + Format.segmentName(id));
        }
        if (failure != null) {
            throw failure;
        }
    }

    /** Reads an operation from the first copy in which it is intact; null if it is intact in neither. */
    Operation read(byte[] key, Index.Location location) throws IOException {
        IOException failure = null;
        for (Disk.File file : files) {
            try {
                Operation operation = read(file, key, location);
                if (operation != null) {
                    return operation;
                }
            } catch (IOException e) {
                failure = e;          // the other copy may still be readable
            }
        }
        if (failure != null) {
            throw failure;
        }
        return null;
    }

    private static Operation read(Disk.File file, byte[] key, Index.Location location) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(location.length());
        file.read(bytes, location.offset());
        Operation operation = bytes.hasRemaining() ? null : Operation.read(bytes.array(), 0, location.length());
        boolean isIntact = operation != null && operation.length() == location.length()
            && operation.sequence() == location.sequence() && operation.isChecksumValid()
            && Arrays.equals(bytes.array(), operation.keyAt(), operation.keyAt() + operation.keyLength(), key, 0,
                key.length);
        return isIntact ? operation : null;
    }

    /** The size of one copy's file in bytes. */
    long size(int copy) throws IOException {
        return files[copy].size();
    }

    /** Whether both copies have the expected header. */
    boolean hasHeader(StoreId store) throws IOException {
        for (Disk.File file : files) {
            ByteBuffer header = ByteBuffer.allocate(Format.SEGMENT_HEADER_BYTES);
            file.read(header, 0);
            if (!Arrays.equals(header.array(), Format.segmentHeader(store, id, firstSequence))) {
                return false;
            }
        }
        return true;
    }

    /** Reads all bytes of one copy. */
    byte[] copy(int copy) throws IOException {
        return Disk.readAll(files[copy]);
    }

    /** Replaces the file of one copy. A read in progress on the old file falls back to the other copy. */
    void repair(int copy, byte[] image) throws IOException {
        String name = Format.segmentName(id);
        AtomicFile.replace(disks[copy], name, name + FolderFiles.REPLACEMENT_SUFFIX, image);
        Disk.File old = files[copy];
        files[copy] = disks[copy].open(name);
        old.close();
    }

    /** Keeps the files open until {@link #release}; returns false if they are closed already. */
    synchronized boolean pin() {
        if (pins == 0) {
            return false;
        }
        pins++;
        return true;
    }

    /** Releases one pin. The last one closes the files, and deletes them if the segment was replaced. */
    synchronized void release() {
        pins--;
        if (pins == 0) {
            close(files);
            if (replaced) {
                delete();
            }
        }
    }

    /** Marks the segment as no longer listed in the manifests, so that its files are deleted with the last pin. */
    synchronized void markReplaced() {
        replaced = true;
    }

    private void delete() {
        for (Disk disk : disks) {
            try {
                disk.delete(Format.segmentName(id));
                disk.delete(Format.hintName(id));
            } catch (IOException e) {
                // the next opening deletes the file, since the manifest does not list it
            }
        }
    }
}
