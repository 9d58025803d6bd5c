package kelphollow.ledger;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.logging.Logger;
import kelphollow.store.Batch;
import kelphollow.store.Durability;
import kelphollow.store.Snapshot;
import kelphollow.store.Store;
import kelphollow.store.StoreFault;

/**
 * State that a gateway keeps across restarts: parts and completions of uploads, tokens of limits, the last endpoint list,
 * and outcomes of unsafe requests. Makes no decisions. Opened before the event loop serves, since opening may block on the
 * disk; afterwards confined to the loop, where no call blocks.
 */
public final class Ledger implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Ledger.class.getName());
    private static final byte[] EPOCH_KEY = RecordCodec.key(StoredNames.EPOCH_KEY);
    private static final byte[] LOST_KEY = RecordCodec.key(StoredNames.LOST_KEY);
    /** Upper bound on the number of runs since a backup was made. */
    private static final long MAX_UNSEEN_EPOCHS = 1_000_000;
    /** One in this many store faults is logged. */
    private static final long FAULTS_PER_LOG_LINE = 1_000;

    private final Store store;
    private final Executor loop;
    private final long epoch;
    private final long lostUpTo;
    private long faults;

    private Ledger(Store store, Executor loop, long epoch, long lostUpTo) {
        this.store = store;
        this.loop = loop;
        this.epoch = epoch;
        this.lostUpTo = lostUpTo;
    }

    /**
     * Starts a run of the gateway. Its epoch, one higher than the last, is synced before this method returns.
     *
     * @param loop executor on which callbacks are called
     */
    public static Ledger open(Store store, Executor loop) throws IOException, StoreFault {
        long epoch = lastEpoch(store) + 1;
        commit(store, new Batch().put(StoredNames.INCARNATIONS, EPOCH_KEY, epochRecord(epoch)));
        byte[] lost = store.get(StoredNames.INCARNATIONS, LOST_KEY);
        return new Ledger(store, loop, epoch, lost == null ? 0 : RecordCodec.decode(lost).integer(StoredNames.EPOCH));
    }

    /** Returns the epoch of the last run, or 0 if there was none. */
    private static long lastEpoch(Store store) throws IOException, StoreFault {
        byte[] last = store.get(StoredNames.INCARNATIONS, EPOCH_KEY);
        return last == null ? 0 : RecordCodec.decode(last).integer(StoredNames.LAST_EPOCH);
    }

    private static byte[] epochRecord(long epoch) {
        return RecordCodec.encode(json -> json.writeNumberField(StoredNames.LAST_EPOCH, epoch));
    }

    /**
     * Records that records of the runs so far may be missing, because a loss was accepted or a backup restored. From
     * then on the absence of a record of theirs proves nothing.
     *
     * @param at Unix milliseconds
     */
    public static void recordLoss(Store store, long at) throws IOException, StoreFault {
        // The lost records may include that of the last epoch, and a backup lacks the epochs of later runs.
        long epoch = lastEpoch(store) + MAX_UNSEEN_EPOCHS;
        byte[] loss = RecordCodec.encode(json -> {
            json.writeNumberField(StoredNames.AT, at);
            json.writeNumberField(StoredNames.EPOCH, epoch);
        });
        commit(store, new Batch().put(StoredNames.INCARNATIONS, EPOCH_KEY, epochRecord(epoch))
            .put(StoredNames.INCARNATIONS, LOST_KEY, loss));
    }

    /** Writes a batch and blocks until it is synced; must not be called on an event loop. */
    private static void commit(Store store, Batch batch) throws IOException, StoreFault {
        CompletableFuture<StoreFault> result = new CompletableFuture<>();
        store.write(batch, Durability.SYNCED, Runnable::run, result::complete);
        try {
            StoreFault fault = result.get();
            if (fault != null) {
                throw fault;
            }
        } catch (InterruptedException | ExecutionException e) {
            throw new IOException(e);
        }
    }

    /** Returns the epoch of this run. */
    public long epoch() {
        return epoch;
    }

    /** Ensures that the next run's epoch is higher than {@code number}. */
    public void reserveEpochsUpTo(long number) {
        writeBuffered(new Batch().put(StoredNames.INCARNATIONS, EPOCH_KEY, epochRecord(Math.max(number, epoch))));
    }

    /** Returns the last epoch whose records may be missing, or 0 if there is none. */
    public long lostUpTo() {
        return lostUpTo;
    }

    /** Returns the underlying store. */
    public Store store() {
        return store;
    }

    /** Returns the records of upload parts. */
    public PartRecords parts() {
        return new PartRecords(this);
    }

    /** Returns the records of upload completions. */
    public CompletionRecords completions() {
        return new CompletionRecords(this);
    }

    /** Returns the records of volumes' limits. */
    public LimitRecords limits() {
        return new LimitRecords(this);
    }

    /** Returns the record of the last endpoint list. */
    public EndpointRecords endpoints() {
        return new EndpointRecords(this);
    }

    /** Returns the records of unsafe requests between sites. */
    public OutcomeRecords outcomes() {
        return new OutcomeRecords(this);
    }

    /** Writes a batch; {@code then} receives null on the event loop once it is synced, else the fault. */
    void writeSynced(Batch batch, Consumer<StoreFault> then) {
        store.write(batch, Durability.SYNCED, loop, fault -> {
            logFault(fault);
            then.accept(fault);
        });
    }

    /** Writes a batch without waiting for a sync. If it is lost, its content must be determined again by other means. */
    void writeBuffered(Batch batch) {
        store.write(batch, Durability.BUFFERED, loop, this::logFault);
    }

    private void logFault(StoreFault fault) {
        if (fault == null) {
            return;
        }
        if (faults % FAULTS_PER_LOG_LINE == 0) {
            LOG.warning("store: records not written (" + (faults + 1) + " failed writes so far): " + fault.getMessage());
        }
        faults++;
    }

    /** Receives the key and the fields of each record of a table. */
    interface Reader {
        void read(String key, StoredRecord stored);
    }

    /** Reads a complete table. Blocks on the disk, so it may only be called before the event loop serves. */
    void read(String table, Reader reader) throws IOException, StoreFault {
        try (Snapshot snapshot = store.snapshot()) {
            snapshot.scan(table, new byte[0], (key, value) -> {
                reader.read(RecordCodec.text(key), RecordCodec.decode(value));
                return true;
            });
        }
    }

    @Override public void close() {
        store.close();
    }
}
