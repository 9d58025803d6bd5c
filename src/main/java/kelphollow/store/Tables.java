package kelphollow.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The tables' names and the number of two bytes that stands for each in front of its keys in the index. They are kept in
 * the store itself, as keys of table 0, and written in the batch that first names the table. Any thread may read; only the
 * writer's thread, or who opens the store, may add.
 */
final class Tables {
    /** Bytes of a table's number. */
    static final int NUMBER_BYTES = 2;
    private static final int MAX_TABLES = 0xffff;
    private static final short NAMES_TABLE = 0;

    private final Map<String, Integer> numbers = new ConcurrentHashMap<>();
    private final Map<Integer, String> names = new ConcurrentHashMap<>();

    // ---------------------------------------------------------------- keys of the index

    /** The key under which a table's number is stored. */
    static byte[] nameKey(String name) {
        return indexKey(NAMES_TABLE, name.getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] indexKey(short table, byte[] key) {
        return ByteBuffer.allocate(NUMBER_BYTES + key.length).putShort(table).put(key).array();
    }

    /** Whether a key of the index is that of a table's number. */
    static boolean isName(byte[] indexKey) {
        return numberOf(indexKey) == NAMES_TABLE;
    }

    static boolean isSameTable(byte[] indexKey, byte[] other) {
        return numberOf(indexKey) == numberOf(other);
    }

    /** The table's number at the beginning of a key of the index, or in the value stored for its name. */
    static int numberOf(byte[] bytes) {
        return Format.int16(bytes, 0);
    }

    /** The caller's key in a key of the index. */
    static byte[] keyOf(byte[] indexKey) {
        return Arrays.copyOfRange(indexKey, NUMBER_BYTES, indexKey.length);
    }

    /** The caller's key as text. */
    static String textOf(byte[] indexKey) {
        return new String(indexKey, NUMBER_BYTES, indexKey.length - NUMBER_BYTES, StandardCharsets.UTF_8);
    }

    /** The key of the index for a caller's key, or null if there is no such table. */
    byte[] key(String table, byte[] key) {
        Integer number = numbers.get(table);
        return number == null ? null : indexKey(number.shortValue(), key);
    }

    /** The name of the table that a key of the index belongs to. */
    String name(byte[] indexKey) {
        return names.get(numberOf(indexKey));
    }

    // ---------------------------------------------------------------- tables

    /** Adds a table as it is stored. */
    void load(byte[] nameKey, byte[] value) {
        register(textOf(nameKey), numberOf(value));
    }

    private void register(String name, int number) {
        names.put(number, name);
        numbers.put(name, number);
    }

    /** The tables in these changes that have no number yet, in their order. */
    List<String> missing(List<Batch.Change> changes) {
        List<String> missing = new ArrayList<>(0);
        for (Batch.Change change : changes) {
            if (!numbers.containsKey(change.table()) && !missing.contains(change.table())) {
                missing.add(change.table());
            }
        }
        return missing;
    }

    /** Gives a new table its number and returns the value to store for it. */
    byte[] add(String name) {
        int number = numbers.size() + 1;
        if (number > MAX_TABLES) {
            throw new IllegalStateException("more than " + MAX_TABLES + " tables");
        }
        register(name, number);
        return indexKey((short) number, new byte[0]);
    }

    /** All names, sorted. */
    List<String> names() {
        return numbers.keySet().stream().sorted().toList();
    }
}
