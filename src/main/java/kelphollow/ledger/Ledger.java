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
 * What a gateway keeps beyond its end, by subject: parts and completions of uploads, tokens of limits, the last endpoint
 * list, outcomes of unsafe requests. Knows the store and its tables; decides nothing. Opened before the event loop serves,
 * which may block on the disk; after that confined to the loop, and every call returns at once.
 */
public final class Ledger implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Ledger.class.getName());
    private static final byte[] EPOCH_KEY = RecordCodec.key(StoredNames.EPOCH_KEY);
    private static final byte[] LOST_KEY = RecordCodec.key(StoredNames.LOST_KEY);
    /** Upper bound on the incarnations since a backup was made. */
    private static final long MAX_UNSEEN_EPOCHS = 1_000_000;
    /** One in this many faults is logged. */
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
     * Begins an incarnation: its epoch, one higher than the last, is synced before this returns.
     *
     * @param loop where acknowledgements are called
     */
    public static Ledger open(Store store, Executor loop) throws IOException, StoreFault {
        long epoch = lastEpoch(store) + 1;
        commit(store, new Batch().put(StoredNames.INCARNATIONS, EPOCH_KEY, epochRecord(epoch)));
        byte[] lost = store.get(StoredNames.INCARNATIONS, LOST_KEY);
        return new Ledger(store, loop, epoch, lost == null ? 0 : RecordCodec.decode(lost).integer(StoredNames.EPOCH));
    }

    /** The epoch of the last incarnation, 0 if there was none. */
    private static long lastEpoch(Store store) throws IOException, StoreFault {
        byte[] last = store.get(StoredNames.INCARNATIONS, EPOCH_KEY);
        return last == null ? 0 : RecordCodec.decode(last).integer(StoredNames.LAST_EPOCH);
    }

    private static byte[] epochRecord(long epoch) {
        return RecordCodec.encode(json -> json.writeNumberField(StoredNames.LAST_EPOCH, epoch));
    }

    /**
     * Records that something of the incarnations so far may be missing, because a loss was accepted or a backup restored:
     * that something of theirs is not in the store proves nothing any more.
     *
     * @param at Unix milliseconds
     */
    public static void recordLoss(Store store, long at) throws IOException, StoreFault {
        // The lost records may be those of the epoch's own number, and of incarnations that a backup does not know.
        long epoch = lastEpoch(store) + MAX_UNSEEN_EPOCHS;
        byte[] loss = RecordCodec.encode(json -> {
            json.writeNumberField(StoredNames.AT, at);
            json.writeNumberField(StoredNames.EPOCH, epoch);
        });
        commit(store, new Batch().put(StoredNames.INCARNATIONS, EPOCH_KEY, epochRecord(epoch))
            .put(StoredNames.INCARNATIONS, LOST_KEY, loss));
    }

    /** Writes and blocks until it is synced; not for event loops. */
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

    /** The number of this incarnation. */
    public long epoch() {
        return epoch;
    }

    /** Makes the next epoch higher than this number. */
    public void reserveEpochsUpTo(long number) {
        writeBuffered(new Batch().put(StoredNames.INCARNATIONS, EPOCH_KEY, epochRecord(Math.max(number, epoch))));
    }

    /** The last epoch of which something may be missing here, 0 if there is none. */
    public long lostUpTo() {
        return lostUpTo;
    }

    /** The store that everything is kept in. */
    public Store store() {
        return store;
    }

    /** Parts of uploads. */
    public PartRecords parts() {
        return new PartRecords(this);
    }

    /** Completions of uploads. */
    public CompletionRecords completions() {
        return new CompletionRecords(this);
    }

    /** Tokens of volumes' limits. */
    public LimitRecords limits() {
        return new LimitRecords(this);
    }

    /** The last endpoint list. */
    public EndpointRecords endpoints() {
        return new EndpointRecords(this);
    }

    /** Outcomes of unsafe requests between sites. */
    public OutcomeRecords outcomes() {
        return new OutcomeRecords(this);
    }

    /** Writes before something goes out: {@code then} receives null on the loop once it is synced, else the fault. */
    void writeSynced(Batch batch, Consumer<StoreFault> then) {
        store.write(batch, Durability.SYNCED, loop, fault -> {
            logFault(fault);
            then.accept(fault);
        });
    }

    /** Writes what nobody waits for: if it is lost, what it says must be asked for again. */
    void writeBuffered(Batch batch) {
        store.write(batch, Durability.BUFFERED, loop, this::logFault);
    }

    private void logFault(StoreFault fault) {
        if (fault == null) {
            return;
        }
        if (faults % FAULTS_PER_LOG_LINE == 0) {
            LOG.warning("store: not recorded (" + (faults + 1) + " so far): " + fault.getMessage());
        }
        faults++;
    }

    /** Receives the key and the fields of each record. */
    interface Reader {
        void read(String key, StoredRecord stored);
    }

    /** Reads a complete table; blocks on the disk, so only before the loop serves. */
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
