package kelphollow.ledger;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import java.util.logging.Logger;
import kelphollow.store.Batch;
import kelphollow.store.Durability;
import kelphollow.store.Snapshot;
import kelphollow.store.Store;
import kelphollow.store.StoreFault;

/**
 * What a gateway keeps beyond its end, by subject: parts and completions of uploads, levels of limits, the last node
 * list, outcomes of unsafe requests. Knows the store and its tables; decides nothing. Opened before the event loop
 * serves, which may wait for the disk; after that every call returns at once.
 */
public final class Ledger implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Ledger.class.getName());
    private static final String LIFE = "life";
    private static final byte[] EPOCH = Records.key("epoch");
    /** So many lives at most may have passed since a backup was made. */
    private static final long UNSEEN_LIVES = 1_000_000;
    private static final byte[] LOST = Records.key("lost");

    private final Store store;
    private final Executor loop;
    private final long epoch;
    private final long lostUpTo;
    private long rejected;

    private Ledger(Store store, Executor loop, long epoch, long lostUpTo) {
        this.store = store;
        this.loop = loop;
        this.epoch = epoch;
        this.lostUpTo = lostUpTo;
    }

    /**
     * Begins a life: its epoch, one higher than the last, is safe before this returns.
     *
     * @param loop where acknowledgements are called
     */
    public static Ledger open(Store store, Executor loop) throws IOException, StoreFault {
        byte[] last = store.get(LIFE, EPOCH);
        long epoch = last == null ? 1 : (long) Records.number(Records.fields(last), "n") + 1;
        commit(store, new Batch().put(LIFE, EPOCH, Records.value("n", epoch)));
        byte[] lost = store.get(LIFE, LOST);
        return new Ledger(store, loop, epoch, lost == null ? 0 : (long) Records.number(Records.fields(lost), "epoch"));
    }

    /**
     * Notes that records of the lives so far may be missing, because a loss was accepted or a backup restored: that
     * something of theirs is not in the store proves nothing any more.
     */
    public static void noteLoss(Store store, long at) throws IOException, StoreFault {
        byte[] last = store.get(LIFE, EPOCH);
        // The lost records may be those of the life's own number, and of lives that a backup does not know.
        long epoch = (last == null ? 0 : (long) Records.number(Records.fields(last), "n")) + UNSEEN_LIVES;
        commit(store, new Batch().put(LIFE, EPOCH, Records.value("n", epoch))
            .put(LIFE, LOST, Records.value("at", at, "epoch", epoch)));
    }

    /** Writes and waits until it is synced; not for event loops. */
    private static void commit(Store store, Batch batch) throws IOException, StoreFault {
        CompletableFuture<StoreFault> done = new CompletableFuture<>();
        store.write(batch, Durability.SYNCED, Runnable::run, done::complete);
        try {
            StoreFault fault = done.get();
            if (fault != null) {
                throw fault;
            }
        } catch (InterruptedException | ExecutionException e) {
            throw new IOException(e);
        }
    }

    /** This life's number. */
    public long epoch() {
        return epoch;
    }

    /** The next life's number will be above this one; from the loop, which does not wait. */
    public void keepAbove(long number) {
        after(new Batch().put(LIFE, EPOCH, Records.value("n", Math.max(number, epoch))));
    }

    /** The last life of which something may be missing here, 0 if there is none. */
    public long lostUpTo() {
        return lostUpTo;
    }

    public Store store() {
        return store;
    }

    public PartRecords parts() {
        return new PartRecords(this);
    }

    public CompletionRecords completions() {
        return new CompletionRecords(this);
    }

    public LimitRecords limits() {
        return new LimitRecords(this);
    }

    public NodeRecords nodes() {
        return new NodeRecords(this);
    }

    public OutcomeRecords outcomes() {
        return new OutcomeRecords(this);
    }

    /** Writes before something goes out: {@code then} hears on the loop whether it is safe. */
    void before(Batch batch, Consumer<StoreFault> then) {
        store.write(batch, Durability.SYNCED, loop, fault -> {
            note(fault);
            then.accept(fault);
        });
    }

    /** Writes what nobody waits for: if it is lost, what it tells must be asked for again. */
    void after(Batch batch) {
        store.write(batch, Durability.BUFFERED, loop, this::note);
    }

    private void note(StoreFault fault) {
        if (fault != null && rejected++ % 1_000 == 0) {
            LOG.warning(() -> "store: not recorded (" + rejected + " so far): " + fault.getMessage());
        }
    }

    /** Called with the key and the fields of each record. */
    interface Reader {
        void read(String key, Map<?, ?> fields);
    }

    /** Reads a whole table, before the loop serves. */
    void read(String table, Reader reader) throws IOException, StoreFault {
        try (Snapshot snapshot = store.snapshot()) {
            snapshot.scan(table, new byte[0], (key, value) -> {
                reader.read(Records.text(key), Records.fields(value));
                return true;
            });
        }
    }

    @Override public void close() {
        store.close();
    }
}
