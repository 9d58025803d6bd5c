package kelphollow.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Changes that take effect together or not at all. Of two changes of one key the later wins. Not thread-safe. */
public final class Batch {
    /** One change; {@code value} is null for a removal, {@code expiresAt} 0 for never. */
    record Change(String table, byte[] key, byte[] value, long expiresAt) {
        boolean isPut() {
            return value != null;
        }

        /** Bytes of its operation in a segment. */
        private long bytes() {
            return Operation.HEAD + (long) Tables.NUMBER_BYTES + key.length + (isPut() ? value.length : 0);
        }
    }

    private record Name(String table, String key) {}

    private final Map<Name, Change> changes = new LinkedHashMap<>();
    private long operationBytes;

    /** Sets the value of a key, without an expiry. Neither array may be changed afterwards. */
    public Batch put(String table, byte[] key, byte[] value) {
        return put(table, key, value, 0);
    }

    /** Sets the value of a key until a time on the store's clock, in Unix milliseconds; 0 is for ever. */
    public Batch put(String table, byte[] key, byte[] value, long expiresAt) {
        return add(new Change(table, key, value, expiresAt));
    }

    /** Removes a key, if it is there. The array may not be changed afterwards. */
    public Batch remove(String table, byte[] key) {
        return add(new Change(table, key, null, 0));
    }

    private Batch add(Change change) {
        if (change.key.length > Operation.MAX_KEY_BYTES) {
            throw new IllegalArgumentException("a key of " + change.key.length + " bytes; " + Operation.MAX_KEY_BYTES
                + " are allowed");
        }
        Name name = new Name(change.table, new String(change.key, StandardCharsets.ISO_8859_1));
        Change replaced = changes.put(name, change);
        operationBytes += change.bytes() - (replaced == null ? 0 : replaced.bytes());
        return this;
    }

    List<Change> changes() {
        return new ArrayList<>(changes.values());
    }

    /** Its length in a segment, without the names of new tables. */
    long bytes() {
        return Format.FRAME_HEADER_BYTES + operationBytes;
    }

    /** Whether it changes nothing. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }
}
