package kelphollow.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Exclusive locks on a store's folders, held until they are closed. They prevent two processes from writing to the same
 * store. Also rejects folders that hold other files. Confined to one thread.
 */
final class FolderLocks implements AutoCloseable {
    /** Name of the lock file in each folder. */
    static final String FILE_NAME = "LOCK";

    private final List<Closeable> locks = new ArrayList<>();

    private FolderLocks() {}

    /**
     * Locks all folders or none; creates missing folders.
     *
     * @throws StoreFault LOCKED if another process has one, FOREIGN_FILES if one holds other files and no store
     */
    static FolderLocks acquire(Disk[] disks) throws IOException, StoreFault {
        FolderLocks acquired = new FolderLocks();
        try {
            for (Disk disk : disks) {
                acquired.add(disk);
            }
            return acquired;
        } catch (IOException | StoreFault e) {
            acquired.close();
            throw e;
        }
    }

    private void add(Disk disk) throws IOException, StoreFault {
        disk.prepare();
        FolderFiles.rejectForeignFiles(disk, disk.exists(Manifest.NAME));
        Closeable lock = disk.lock(FILE_NAME);
        if (lock == null) {
            throw new StoreFault(StoreFault.Kind.LOCKED, disk.path() + " is held by a running program");
        }
        locks.add(lock);
    }

    @Override public void close() {
        for (Closeable lock : locks) {
            try {
                lock.close();
            } catch (IOException e) {
                // the operating system releases the lock when the process ends
            }
        }
    }
}
