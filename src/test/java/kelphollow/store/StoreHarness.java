package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * A store in two in-memory folders, without threads of its own, and a map of what it should hold. Confined to the test's
 * thread.
 */
final class StoreHarness {
    /** Strong reference, since loggers are garbage-collected. Each of thousands of injected faults would be a log line. */
    private static final Logger SILENCED = Logger.getLogger(Store.class.getName());

    static {
        SILENCED.setLevel(Level.OFF);
    }

    /** Options with segments so small that a few records fill one. */
    static final StoreOptions SMALL = new StoreOptions(512, 4096, 8192, 4096, 1 << 30, 0, true, true);
    /** The acknowledged values, by {@code table/key}. */
    final Map<String, String> model = new TreeMap<>();
    MemoryDisk first;
    MemoryDisk second;
    Store store;
    StoreOptions options = SMALL;
    /** The store's clock, in Unix milliseconds. */
    long now = 1_000_000;

    StoreHarness() {
        MemoryDisk.Faults faults = new MemoryDisk.Faults();
        first = new MemoryDisk("a", faults);
        second = new MemoryDisk("b", faults);
    }

    /** Uses these folders from the next opening on. */
    StoreHarness useDisks(MemoryDisk newFirst, MemoryDisk newSecond) {
        first = newFirst;
        second = newSecond;
        return this;
    }

    StoreHarness open() throws IOException, StoreFault {
        store = Store.open(first, second, options, () -> now);
        return this;
    }

    /** Opens the store as an operator who accepts the loss of data that is damaged in both copies. */
    void openAcceptingLoss() throws IOException, StoreFault {
        store = Store.openAcceptingLoss(first, second, options, () -> now, ProgressListener.NONE);
    }

    void reopen() throws IOException, StoreFault {
        store.close();
        open();
    }

    /** Reopens the store as after a kill of its process: nothing is closed, and data written to the system is kept. */
    void killAndReopen() throws IOException, StoreFault {
        first = first.copy(new MemoryDisk.Faults());
        second = second.copy(first.faults);
        open();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static String text(byte[] bytes) {
        return bytes == null ? null : new String(bytes, StandardCharsets.UTF_8);
    }

    /** Writes and returns the fault, or null. */
    StoreFault write(Batch batch, Durability durability) {
        List<StoreFault> results = new ArrayList<>();
        store.write(batch, durability, Runnable::run, results::add);
        assertEquals(1, results.size(), "number of acknowledgements");
        if (results.get(0) == null) {
            apply(batch, model);
        }
        return results.get(0);
    }

    static void apply(Batch batch, Map<String, String> model) {
        for (Batch.Change change : batch.changes()) {
            String name = change.table() + "/" + text(change.key());
            if (change.isPut()) {
                model.put(name, text(change.value()));
            } else {
                model.remove(name);
            }
        }
    }

    static Batch put(Batch batch, String table, String key, String value) {
        return batch.put(table, bytes(key), bytes(value));
    }

    StoreFault put(String table, String key, String value) {
        return write(put(new Batch(), table, key, value), Durability.SYNCED);
    }

    StoreFault remove(String table, String key) {
        return write(new Batch().remove(table, bytes(key)), Durability.SYNCED);
    }

    String get(String table, String key) throws IOException, StoreFault {
        return text(store.get(table, bytes(key)));
    }

    /** Returns all values of the store by {@code table/key}; asserts that scans are in key order and agree with lookups. */
    static Map<String, String> contents(Store store) throws IOException, StoreFault {
        Map<String, String> contents = new TreeMap<>();
        try (Snapshot snapshot = store.snapshot()) {
            for (String table : store.tableNames()) {
                byte[][] previous = new byte[1][];
                snapshot.scan(table, new byte[0], (key, value) -> {
                    assertEquals(true, previous[0] == null || Arrays.compareUnsigned(previous[0], key) < 0,
                        "scan in key order");
                    previous[0] = key;
                    contents.put(table + "/" + text(key), text(value));
                    assertArrayEquals(value, lookUp(snapshot, table, key));
                    return true;
                });
            }
        }
        return contents;
    }

    private static byte[] lookUp(Snapshot snapshot, String table, byte[] key) throws IOException {
        try {
            return snapshot.get(table, key);
        } catch (StoreFault e) {
            throw new IOException(e);
        }
    }

    void assertHoldsModel() throws IOException, StoreFault {
        assertEquals(model, contents(store));
    }
}
