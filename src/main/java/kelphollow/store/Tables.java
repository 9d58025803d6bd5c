package kelphollow.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The tables' names and the two bytes that stand for each in front of its keys. They are kept in the store itself, as
 * keys of table 0, and written in the batch that first names the table. Read from any thread, changed by the writer.
 */
final class Tables {
    static final int MOST = 0xffff;
    private final Map<String, Integer> numbers = new ConcurrentHashMap<>();
    private final Map<Integer, String> names = new ConcurrentHashMap<>();

    static byte[] nameKey(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(2 + bytes.length).putShort((short) 0).put(bytes).array();
    }

    static boolean isName(byte[] key) {
        return key[0] == 0 && key[1] == 0;
    }

    /** The text behind a key's two bytes. */
    static String textOf(byte[] key) {
        return new String(key, 2, key.length - 2, StandardCharsets.UTF_8);
    }

    void load(byte[] key, byte[] value) {
        enter(textOf(key), Format.int16(value, 0));
    }

    private void enter(String name, int number) {
        names.put(number, name);
        numbers.put(name, number);
    }

    /** The names in these changes that have no number yet. */
    List<String> missing(List<Batch.Change> changes) {
        List<String> missing = new ArrayList<>(0);
        for (Batch.Change c : changes) {
            if (!numbers.containsKey(c.table()) && !missing.contains(c.table())) {
                missing.add(c.table());
            }
        }
        return missing;
    }

    /** Gives a new table its number, and the value that says so. */
    byte[] add(String name) {
        int number = numbers.size() + 1;
        if (number > MOST) {
            throw new IllegalStateException("more than " + MOST + " tables");
        }
        enter(name, number);
        return new byte[] {(byte) (number >> 8), (byte) number};
    }

    /** The key as it stands in the index, or null if there is no such table. */
    byte[] key(String table, byte[] key) {
        Integer number = numbers.get(table);
        return number == null ? null
            : ByteBuffer.allocate(2 + key.length).putShort((short) (int) number).put(key).array();
    }

    static byte[] keyOf(byte[] indexKey) {
        return Arrays.copyOfRange(indexKey, 2, indexKey.length);
    }

    String name(byte[] indexKey) {
        return names.get(Format.int16(indexKey, 0));
    }

    List<String> all() {
        return numbers.keySet().stream().sorted().toList();
    }
}
