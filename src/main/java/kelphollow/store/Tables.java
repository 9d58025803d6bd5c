package kelphollow.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Maps the names of tables to two-byte numbers, which prefix the keys of the index. The names are kept in the store itself,
 * as keys of table 0, and written with the first batch that uses the table. Any thread may read; only the writer's thread,
 * or the thread that opens the store, may add tables.
 */
final class Tables {
    /** Length of a table's number. */
    static final int NUMBER_BYTES = 2;
    private static final int MAX_TABLES = 0xffff;
    private static final short NAMES_TABLE = 0;

    private final Map<String, Integer> numbers = new ConcurrentHashMap<>();
    private final Map<Integer, String> names = new ConcurrentHashMap<>();

    // ---------------------------------------------------------------- index keys

    /** The key under which a table's number is stored. */
    static byte[] nameKey(String name) {
        return indexKey(NAMES_TABLE, name.getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] indexKey(short table, byte[] key) {
        return ByteBuffer.allocate(NUMBER_BYTES + key.length).putShort(table).put(key).array();
    }

    /** Whether an index key is that of a table's name. */
    static boolean isName(byte[] indexKey) {
        return numberOf(indexKey) == NAMES_TABLE;
    }

    static boolean isSameTable(byte[] indexKey, byte[] other) {
        return numberOf(indexKey) == numberOf(other);
    }

    /** The table's number at the start of an index key, or in the value stored for a table's name. */
    static int numberOf(byte[] bytes) {
        return Format.int16(bytes, 0);
    }

    /** The caller's key within an index key. */
    static byte[] keyOf(byte[] indexKey) {
        return Arrays.copyOfRange(indexKey, NUMBER_BYTES, indexKey.length);
    }

    /** The caller's key as text. */
    static String textOf(byte[] indexKey) {
        return new String(indexKey, NUMBER_BYTES, indexKey.length - NUMBER_BYTES, StandardCharsets.UTF_8);
    }

    /** The index key for a caller's key, or null if the table does not exist. */
    byte[] key(String table, byte[] key) {
        Integer number = numbers.get(table);
        return number == null ? null : indexKey(number.shortValue(), key);
    }

    /** The name of the table that an index key belongs to. */
    String name(byte[] indexKey) {
        return names.get(numberOf(indexKey));
    }

    // ---------------------------------------------------------------- tables

    /** Adds a table that was read from the store. */
    void load(byte[] nameKey, byte[] value) {
        register(textOf(nameKey), numberOf(value));
    }

    private void register(String name, int number) {
        names.put(number, name);
        numbers.put(name, number);
    }

    /** The tables in these changes that have no number yet, in order of appearance. */
    List<String> missing(List<Batch.Change> changes) {
        List<String> missing = new ArrayList<>(0);
        for (Batch.Change change : changes) {
            if (!numbers.containsKey(change.table()) && !missing.contains(change.table())) {
                missing.add(change.table());
            }
        }
        return missing;
    }

    /** Assigns a number to a new table and returns the value to store for its name. */
    byte[] add(String name) {
        int number = numbers.size() + 1;
        if (number > MAX_TABLES) {
            throw new IllegalStateException("cannot add table " + name + ": the store has " + MAX_TABLES
                + " tables, the maximum");
        }
        register(name, number);
        return indexKey((short) number, new byte[0]);
    }

    /** All names, sorted. */
    List<String> names() {
        return numbers.keySet().stream().sorted().toList();
    }
}
