package kelphollow.store;

import java.util.UUID;

/** A random 128-bit id that distinguishes the files of different stores; generated when a store is created. */
record StoreId(long high, long low) {
    static StoreId random() {
        UUID id = UUID.randomUUID();
        return new StoreId(id.getMostSignificantBits(), id.getLeastSignificantBits());
    }

    @Override public String toString() {
        return new UUID(high, low).toString();
    }
}
