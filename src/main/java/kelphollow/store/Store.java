package kelphollow.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * An embedded store for state that must survive a restart: tables of keys and values on an append-only log, kept in two
 * copies in two folders, so that damage to either copy loses nothing. Follows Bitcask (Sheehy and Smith, 2010): all keys
 * are in memory, values on disk. Writing never blocks: a write is acknowledged on the caller's executor once the requested
 * {@link Durability} is reached. A read looks up the key in memory and then reads one range of one file, which may block on
 * the disk.
 *
 * <p>Cost: at most 64 bytes of memory per key in addition to the key; three threads: the writer, the sync of the second
 * copy, and the background work. Thread-safe. File formats and the order of syncs are in {@code docs/design/STORE.md}.
 */
public final class Store implements AutoCloseable {
    /**
     * Counters of the store. Those of written data, payload and syncs start at zero when the store is opened.
     *
     * @param keys number of keys
     * @param segments number of segments
     * @param bytes size of all segments, one copy
     * @param liveBytes bytes of the operations that set the current value of a key, one copy
     * @param writtenBytes bytes written to both copies together
     * @param payloadBytes bytes of the keys and values that callers passed
     * @param syncs number of syncs of the log
     * @param syncedUpTo sequence of the last batch known to be synced
     */
    public record Stats(int keys, int segments, long bytes, long liveBytes, long writtenBytes, long payloadBytes, long syncs,
                        long syncedUpTo) {}

    private static final Logger LOG = Logger.getLogger(Store.class.getName());

    private final FolderLocks locks;
    private final IntegrityReport report;
    private final Tables tables = new Tables();
    private final SegmentSet segments;
    private final StoreClock clock;
    private final Writer writer;
    private final Compactor compactor;
    private final List<Thread> threads = new ArrayList<>();
    private boolean closed;

    private Store(Disk[] disks, FolderLocks locks, StoreOpener.Recovered recovered, StoreOptions options,
        LongSupplier clock) throws IOException, StoreFault {
        this.locks = locks;
        this.report = recovered.report();
        this.clock = new StoreClock(clock, recovered.time());
        this.segments = new SegmentSet(disks, recovered.storeId(), recovered.segments(), recovered.index());
        loadTables();
        CommitLog log = new CommitLog(segments, recovered, tables, options, this.clock, this::wakeCompactor);
        this.writer = new Writer(log, options, fault -> LOG.severe(() -> "store: " + fault.getMessage()));
        this.compactor = new Compactor(segments, writer, options, this.clock, what -> LOG.warning(() -> "store: " + what));
    }

    /**
     * Opens the store in two folders, also after a crash, or creates one if both are empty.
     *
     * @param clock Unix milliseconds, for expiry; a backward step is ignored until the clock catches up
     * @throws StoreFault LOCKED, FOREIGN_FILES, UNSUPPORTED_VERSION, or DAMAGED if acknowledged data is intact in neither
     *     copy
     * @throws IOException if a folder cannot be used
     */
    public static Store open(Disk first, Disk second, StoreOptions options, LongSupplier clock)
        throws IOException, StoreFault {
        return open(first, second, options, clock, RecoveryMode.REJECT_LOSS, ProgressListener.NONE);
    }

    /** Like {@link #open(Disk, Disk, StoreOptions, LongSupplier)}, and reports the progress. */
    public static Store open(Disk first, Disk second, StoreOptions options, LongSupplier clock, ProgressListener progress)
        throws IOException, StoreFault {
        return open(first, second, options, clock, RecoveryMode.REJECT_LOSS, progress);
    }

    /** Opens the store and drops data that is intact in neither copy, for the operator. The report lists what was lost. */
    public static Store openAcceptingLoss(Disk first, Disk second, StoreOptions options, LongSupplier clock,
        ProgressListener progress) throws IOException, StoreFault {
        return open(first, second, options, clock, RecoveryMode.ACCEPT_LOSS, progress);
    }

    private static Store open(Disk first, Disk second, StoreOptions options, LongSupplier clock, RecoveryMode mode,
        ProgressListener progress) throws IOException, StoreFault {
        Disk[] disks = {first, second};
        FolderLocks locks = FolderLocks.acquire(disks);
        StoreOpener.Recovered recovered = null;
        try {
            recovered = StoreOpener.open(disks, options, clock.getAsLong(), mode, progress);
            Store store = new Store(disks, locks, recovered, options, clock);
            if (!options.inline()) {
                store.start(store.writer, "store-writer");
                store.start(store.compactor, "store-compactor");
            }
            return store;
        } catch (IOException | StoreFault | RuntimeException e) {
            if (recovered != null) {
                recovered.segments().values().forEach(Segment::release);
            }
            locks.close();
            throw e;
        }
    }

    /** Verifies all bytes of both copies without changing anything. */
    public static Inspection inspect(Disk first, Disk second, StoreOptions options, ProgressListener progress)
        throws IOException, StoreFault {
        Disk[] disks = {first, second};
        if (!first.exists(Manifest.NAME) && !second.exists(Manifest.NAME)) {
            throw new StoreFault(StoreFault.Kind.FOREIGN_FILES, first.path() + " and " + second.path()
                + " hold no " + Manifest.NAME + ": there is no store");
        }
        try (FolderLocks held = FolderLocks.acquire(disks)) {
            return StoreOpener.inspect(disks, options, progress);
        }
    }

    private void loadTables() throws IOException, StoreFault {
        for (Index.Entry entry : segments.index().entriesFrom(Tables.nameKey(""))) {
            if (!Tables.isName(entry.key())) {
                return;
            }
            Segment segment = segments.segment(entry.location().segment());
            tables.load(entry.key(), segments.read(segment, entry.key(), entry.location()));
        }
    }

    private void start(Runnable work, String name) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private void wakeCompactor() {
        compactor.wake();
    }

    // ---------------------------------------------------------------- writing and reading

    /**
     * Writes a batch atomically. Returns immediately.
     *
     * @param executor runs {@code callback}, for example an event loop
     */
    public void write(Batch batch, Durability durability, Executor executor, WriteCallback callback) {
        writer.submit(new PendingWrite(batch, durability, executor, callback));
    }

    /** Returns the value of a key, or null. May block on the disk. */
    public byte[] get(String table, byte[] key) throws IOException, StoreFault {
        byte[] indexKey = tables.key(table, key);
        return indexKey == null ? null : segments.get(indexKey, clock);
    }

    /** Returns a consistent view. Close it soon: until then the files that compaction replaces are not deleted. */
    public Snapshot snapshot() throws StoreFault {
        SegmentSet.Pinned pinned = segments.pin();
        while (pinned == null) {
            if (isClosed()) {
                throw new StoreFault(StoreFault.Kind.CLOSED, "the store is closed");
            }
            pinned = segments.pin();
        }
        return new Snapshot(segments, pinned, tables, clock.getAsLong());
    }

    /** The names of all tables, sorted. */
    public List<String> tableNames() {
        return tables.names();
    }

    // ---------------------------------------------------------------- maintenance

    /** What the opening found and repaired. */
    public IntegrityReport report() {
        return report;
    }

    /** The fault that stopped all writing, or null. */
    public StoreFault fault() {
        return writer.fault();
    }

    /** Returns the current counters; waits for the writer's thread. */
    public Stats stats() throws IOException, StoreFault {
        return writer.call(CommitLog::stats);
    }

    /** Runs all background work that is due on this thread; for tools and tests, with {@link StoreOptions#inline}. */
    public void runMaintenance() throws IOException, StoreFault {
        while (compactor.runOnce()) {
            // repeats until no task is due
        }
    }

    /** Compacts all sealed segments into as few as possible. */
    public void compactAll() throws IOException, StoreFault {
        compactor.compactAll();
    }

    /** Reads both copies of all sealed segments and repairs damaged ones; returns the number of repaired files. */
    public int scrub(IntegrityReport into) throws IOException, StoreFault {
        return compactor.scrub(into);
    }

    /** Writes the queued batches, marks the log as cleanly closed, and unlocks the folders. Idempotent. */
    @Override public void close() {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
        }
        compactor.close();
        writer.close();
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        segments.releaseAll();
        locks.close();
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    /** The current index, for benchmarks. */
    Index index() {
        return segments.index();
    }
}
