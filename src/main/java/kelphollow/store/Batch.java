package kelphollow.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A set of changes that is applied atomically. A later change of a key replaces an earlier one. Not thread-safe. */
public final class Batch {
    /** One change: {@code value} is null for a removal; {@code expiresAt} is in Unix milliseconds, 0 for no expiry. */
    record Change(String table, byte[] key, byte[] value, long expiresAt) {
        boolean isPut() {
            return value != null;
        }

        /** Size in bytes of the operation that stores this change in a segment. */
        private long bytes() {
            return Operation.HEADER_BYTES + (long) Tables.NUMBER_BYTES + key.length + (isPut() ? value.length : 0);
        }
    }

    private record Name(String table, String key) {}

    private final Map<Name, Change> changes = new LinkedHashMap<>();
    private long operationBytes;

    /** Sets the value of a key, without an expiry. The caller must not modify the arrays afterwards. */
    public Batch put(String table, byte[] key, byte[] value) {
        return put(table, key, value, 0);
    }

    /** Sets the value of a key that expires at {@code expiresAt} on the store's clock, in Unix milliseconds; 0 for never. */
    public Batch put(String table, byte[] key, byte[] value, long expiresAt) {
        return add(new Change(table, key, value, expiresAt));
    }

    /** Removes a key if it exists. The caller must not modify the array afterwards. */
    public Batch remove(String table, byte[] key) {
        return add(new Change(table, key, null, 0));
    }

    private Batch add(Change change) {
        if (change.key.length > Operation.MAX_KEY_BYTES) {
            throw new IllegalArgumentException("key is " + change.key.length + " bytes long, the maximum is "
                + Operation.MAX_KEY_BYTES);
        }
        Name name = new Name(change.table, new String(change.key, StandardCharsets.ISO_8859_1));
        Change replaced = changes.put(name, change);
        operationBytes += change.bytes() - (replaced == null ? 0 : replaced.bytes());
        return this;
    }

    List<Change> changes() {
        return new ArrayList<>(changes.values());
    }

    /** Size in bytes of the frame that stores the batch in a segment, without the operations that add new tables. */
    long bytes() {
        return Format.FRAME_HEADER_BYTES + operationBytes;
    }

    /** Whether the batch has no changes. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }
}
