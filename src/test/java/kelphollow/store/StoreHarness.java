package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A store on two folders in memory, without threads, beside what a plain map says that it should hold. */
final class StoreHarness {
    /** Faults are caused by the thousand here, and each would be a line in the log. */
    private static final java.util.logging.Logger QUIET = java.util.logging.Logger.getLogger(Store.class.getName());

    static {
        QUIET.setLevel(java.util.logging.Level.OFF);
    }

    static final StoreOptions SMALL = new StoreOptions(512, 4096, 8192, 4096, 1 << 30, 0, true, true);
    MemoryDisk a, b;
    Store store;
    StoreOptions options = SMALL;
    long now = 1_000_000;
    /** What was acknowledged, by {@code table/key}. */
    final Map<String, String> model = new TreeMap<>();

    StoreHarness() {
        MemoryDisk.Faults faults = new MemoryDisk.Faults();
        a = new MemoryDisk("a", faults);
        b = new MemoryDisk("b", faults);
    }

    StoreHarness on(MemoryDisk first, MemoryDisk second) {
        a = first;
        b = second;
        return this;
    }

    StoreHarness open() throws IOException, StoreFault {
        store = Store.open(a, b, options, () -> now);
        return this;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static String text(byte[] bytes) {
        return bytes == null ? null : new String(bytes, StandardCharsets.UTF_8);
    }

    /** Writes and gives the fault, or null. */
    StoreFault write(Batch batch, Durability grade) {
        List<StoreFault> ended = new ArrayList<>();
        store.write(batch, grade, Runnable::run, ended::add);
        assertEquals(1, ended.size(), "acknowledged once");
        if (ended.get(0) == null) {
            apply(batch, model);
        }
        return ended.get(0);
    }

    static void apply(Batch batch, Map<String, String> to) {
        for (Batch.Change c : batch.changes()) {
            String name = c.table() + "/" + text(c.key());
            if (c.isPut()) {
                to.put(name, text(c.value()));
            } else {
                to.remove(name);
            }
        }
    }

    StoreFault put(String table, String key, String value) {
        return write(new Batch().put(table, bytes(key), bytes(value)), Durability.SYNCED);
    }

    StoreFault remove(String table, String key) {
        return write(new Batch().remove(table, bytes(key)), Durability.SYNCED);
    }

    String get(String table, String key) throws IOException, StoreFault {
        return text(store.get(table, bytes(key)));
    }

    /** All that the store holds. */
    static Map<String, String> contents(Store store) throws IOException, StoreFault {
        Map<String, String> all = new TreeMap<>();
        try (Snapshot snapshot = store.snapshot()) {
            for (String table : store.tableNames()) {
                byte[][] before = new byte[1][];
                snapshot.scan(table, new byte[0], (k, v) -> {
                    assertEquals(true, before[0] == null || java.util.Arrays.compareUnsigned(before[0], k) < 0, "in order");
                    before[0] = k;
                    all.put(table + "/" + text(k), text(v));
                    assertArrayEquals(v, snapshotGet(snapshot, table, k));
                    return true;
                });
            }
        }
        return all;
    }

    private static byte[] snapshotGet(Snapshot snapshot, String table, byte[] key) throws IOException {
        try {
            return snapshot.get(table, key);
        } catch (StoreFault e) {
            throw new IOException(e);
        }
    }

    void assertHoldsModel() throws IOException, StoreFault {
        assertEquals(model, contents(store));
    }

    void reopen() throws IOException, StoreFault {
        store.close();
        open();
    }

    /** As if the process had been killed: nothing is closed, what the system has been given stays. */
    void kill() throws IOException, StoreFault {
        a = a.copy(new MemoryDisk.Faults());
        b = b.copy(a.faults);
        open();
    }
}
