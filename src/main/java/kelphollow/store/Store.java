package kelphollow.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * A small embedded store for what must outlive a restart: tables of keys and values on a log that is kept twice, in two
 * folders, so that damage to either copy loses nothing. Writing never waits: it is acknowledged on the caller's
 * executor once the grade asked for is reached. Reading looks into memory and then reads one place of one file, which
 * may wait for the disk: an event loop keeps in memory what it needs.
 *
 * <p>Cost: at most 64 bytes of memory a key beside the key; three threads: one writes, one syncs the second copy, one is
 * for the background. All methods may be called from any thread. The files' form and the order of syncs are in {@code docs/design/STORE.md}.
 */
public final class Store implements AutoCloseable {
    /**
     * Figures in bytes and counts since the opening; {@code written} counts both copies, {@code payload} is keys and
     * values as callers gave them, {@code safeTo} the number of the last batch known to be synced.
     */
    public record Stats(int keys, int segments, long length, long live, long written, long payload, long syncs,
                        long safeTo) {}

    static final String LOCK = "LOCK";
    private static final Logger LOG = Logger.getLogger(Store.class.getName());

    private final Disk[] disks;
    private final StoreId id;
    private final List<Closeable> locks;
    private final Report report;
    private final Tables tables = new Tables();
    private final Map<Long, Segment> segments = new ConcurrentHashMap<>();
    private final Writer writer;
    private final Compactor compactor;
    private final List<Thread> threads = new ArrayList<>();
    private final LongSupplier clock;
    private volatile Index index;
    private final AtomicLong latest;
    private boolean closed;

    private Store(Disk[] disks, List<Closeable> locks, StoreOpener.State state, StoreOptions options, LongSupplier clock)
        throws IOException, StoreFault {
        this.disks = disks;
        this.locks = locks;
        this.id = state.id();
        this.report = state.report();
        this.clock = clock;
        this.index = state.index();
        this.latest = new AtomicLong(state.time());
        segments.putAll(state.segments());
        loadTables();
        this.writer = new Writer(this, state, tables, state.space(), options, this::time);
        this.compactor = new Compactor(this, writer, options);
    }

    /**
     * Opens the store in two folders, after a crash too, or makes one if both are empty.
     *
     * @param clock Unix milliseconds, for what expires; a step back is taken for standing still
     * @throws StoreFault LOCKED, FOREIGN, VERSION, or DAMAGED if something safe is whole in neither copy
     * @throws IOException if a folder cannot be used
     */
    public static Store open(Disk first, Disk second, StoreOptions options, LongSupplier clock)
        throws IOException, StoreFault {
        return open(first, second, options, clock, StoreOpener.Loss.REFUSE, Progress.NONE);
    }

    /** The same, for tools that tell how far it has come. */
    public static Store open(Disk first, Disk second, StoreOptions options, LongSupplier clock, Progress progress)
        throws IOException, StoreFault {
        return open(first, second, options, clock, StoreOpener.Loss.REFUSE, progress);
    }

    /** The operator's word: opens the store without what is whole in neither copy. The report names what was lost. */
    public static Store openAcceptingLoss(Disk first, Disk second, StoreOptions options, LongSupplier clock,
        Progress progress) throws IOException, StoreFault {
        return open(first, second, options, clock, StoreOpener.Loss.ACCEPT, progress);
    }

    private static Store open(Disk first, Disk second, StoreOptions options, LongSupplier clock, StoreOpener.Loss loss,
        Progress progress) throws IOException, StoreFault {
        Disk[] disks = {first, second};
        List<Closeable> locks = lock(disks);
        StoreOpener.State state = null;
        try {
            state = StoreOpener.open(disks, options, clock.getAsLong(), loss, progress);
            Store store = new Store(disks, locks, state, options, clock);
            if (!options.inline()) {
                store.start(store.writer, "store-writer");
                store.start(store.compactor, "store-compactor");
            }
            return store;
        } catch (IOException | StoreFault | RuntimeException e) {
            if (state != null) {
                state.segments().values().forEach(Segment::release);
            }
            unlock(locks);
            throw e;
        }
    }

    /** Looks at all bytes of both copies and changes nothing. */
    public static Inspection inspect(Disk first, Disk second, StoreOptions options, Progress progress)
        throws IOException, StoreFault {
        Disk[] disks = {first, second};
        if (!first.has(Manifest.NAME) && !second.has(Manifest.NAME)) {
            throw new StoreFault(StoreFault.Kind.FOREIGN, first.place() + " and " + second.place()
                + " hold no " + Manifest.NAME + ": there is no store");
        }
        List<Closeable> locks = lock(disks);
        try {
            return StoreOpener.look(disks, options, progress);
        } finally {
            unlock(locks);
        }
    }

    private static List<Closeable> lock(Disk[] disks) throws IOException, StoreFault {
        List<Closeable> locks = new ArrayList<>();
        try {
            for (Disk disk : disks) {
                disk.prepare();
                FolderFiles.refuseStrangers(disk, disk.has(Manifest.NAME));
                Closeable lock = disk.lock(LOCK);
                if (lock == null) {
                    throw new StoreFault(StoreFault.Kind.LOCKED, disk.place() + " is held by a running program");
                }
                locks.add(lock);
            }
            return locks;
        } catch (IOException | StoreFault e) {
            unlock(locks);
            throw e;
        }
    }

    private static void unlock(List<Closeable> locks) {
        for (Closeable lock : locks) {
            try {
                lock.close();
            } catch (IOException e) {
                // the process's end lets it go
            }
        }
    }

    private void loadTables() throws IOException, StoreFault {
        Exception[] thrown = new Exception[1];
        index.walk(new byte[2], (key, place) -> {
            if (!Tables.isName(key)) {
                return false;
            }
            try {
                tables.load(key, value(segments.get((long) place.segment()), key, place));
                return true;
            } catch (IOException | StoreFault e) {
                thrown[0] = e;
                return false;
            }
        });
        if (thrown[0] instanceof IOException e) {
            throw e;
        }
        if (thrown[0] instanceof StoreFault e) {
            throw e;
        }
    }

    private void start(Runnable work, String name) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    // ---------------------------------------------------------------- writing

    /**
     * Writes a batch, all of it or nothing. Returns at once.
     *
     * @param on where {@code ack} is called, an event loop for instance
     */
    public void write(Batch batch, Durability grade, Executor on, Ack ack) {
        writer.submit(batch, grade, on, ack);
    }

    // ---------------------------------------------------------------- reading

    /** The value of a key, or null. May wait for the disk. */
    public byte[] get(String table, byte[] key) throws IOException, StoreFault {
        byte[] name = tables.key(table, key);
        if (name == null) {
            return null;
        }
        while (true) {
            Index now = index;
            Index.Place place = now.get(name);
            if (place == null || place.expires() > 0 && place.expires() <= time()) {
                return null;
            }
            Segment segment = segments.get((long) place.segment());
            if (segment != null && segment.pin()) {
                try {
                    return value(segment, name, place);
                } finally {
                    segment.release();
                }
            }
            if (now == index) {
                throw new StoreFault(StoreFault.Kind.CLOSED, "the store is closed");
            }
        }
    }

    byte[] value(Segment segment, byte[] key, Index.Place place) throws IOException, StoreFault {
        Format.Op op = segment.read(key, place);
        if (op == null) {
            throw new StoreFault(StoreFault.Kind.DAMAGED, disks[0].place() + "/" + Format.segmentName(segment.id())
                + " offset=" + place.offset() + " sequence=" + place.sequence() + " is whole in neither copy");
        }
        return op.value();
    }

    /** The store as it is now, for reading while writing goes on. Close it soon: it keeps files from being deleted. */
    public Snapshot snapshot() throws StoreFault {
        while (true) {
            Index now = index;
            List<Segment> pinned = new ArrayList<>();
            boolean all = true;
            for (Segment segment : segments.values()) {
                if (segment.pin()) {
                    pinned.add(segment);
                } else {
                    all = false;
                }
            }
            // What compaction replaced went out of the map after a new index was published.
            if (all && now == index) {
                return new Snapshot(this, now, pinned, time());
            }
            pinned.forEach(Segment::release);
            if (!all && now == index && isClosed()) {
                throw new StoreFault(StoreFault.Kind.CLOSED, "the store is closed");
            }
        }
    }

    /** A clock that goes back is taken for standing still. */
    long time() {
        return latest.accumulateAndGet(clock.getAsLong(), Math::max);
    }

    /** The names of all tables, sorted. */
    public List<String> tableNames() {
        return tables.all();
    }

    // ---------------------------------------------------------------- care

    /** What the opening found and repaired. */
    public Report report() {
        return report;
    }

    /** Why nothing can be written any more, or null. */
    public StoreFault fault() {
        return writer.fault();
    }

    public Stats stats() throws IOException, StoreFault {
        Stats[] stats = new Stats[1];
        writer.run(() -> stats[0] = writer.log().stats());
        return stats[0];
    }

    /** Does now what the background would do in time; for tools and tests, with {@link StoreOptions#inline}. */
    public void tidy() throws IOException, StoreFault {
        while (compactor.turn()) {
            // until nothing is left to do
        }
    }

    /** Compacts all sealed segments into as few as can be. */
    public void compactAll() throws IOException, StoreFault {
        compactor.compactAll();
    }

    /** Reads both copies of all sealed segments and repairs what is damaged in one; gives the number of repaired files. */
    public int scrub(Report into) throws IOException, StoreFault {
        return compactor.scrub(into);
    }

    /** Writes what waits, says on disk that nothing is missing, and lets the folders go. */
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
        segments.values().forEach(Segment::release);
        unlock(locks);
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    // ---------------------------------------------------------------- for writer and compactor

    Disk[] disks() {
        return disks;
    }

    StoreId id() {
        return id;
    }

    Tables tables() {
        return tables;
    }

    Index index() {
        return index;
    }

    Segment segment(long number) {
        return segments.get(number);
    }

    void publish(Index next) {
        index = next;
    }

    void begun(Segment segment) {
        segments.put(segment.id(), segment);
    }

    void replaced(long segment) {
        Segment gone = segments.remove(segment);
        if (gone != null) {
            gone.replaced();
            gone.release();
        }
    }

    void wakeCompactor() {
        compactor.wake();
    }

    void warn(String what) {
        LOG.warning(() -> "store: " + what);
    }

    void failed(StoreFault fault) {
        LOG.severe(() -> "store: " + fault.getMessage());
    }

    /** Damage of both copies is found while the store runs: from here on it takes nothing new. */
    StoreFault damaged(Segment segment, SegmentMerge merge) {
        SegmentMerge.Damage d = merge.damages().get(0);
        StoreFault fault = new StoreFault(StoreFault.Kind.DAMAGED, disks[0].place() + "/"
            + Format.segmentName(segment.id()) + " offset=" + d.at() + " sequence=" + d.sequence()
            + " is whole in neither copy");
        writer.stop(fault);
        return fault;
    }
}
