package kelphollow.store;

import java.util.UUID;

/** The 128 random bits that tell one store's files from another's, drawn when the store is created. */
record StoreId(long high, long low) {
    static StoreId random() {
        UUID id = UUID.randomUUID();
        return new StoreId(id.getMostSignificantBits(), id.getLeastSignificantBits());
    }

    @Override public String toString() {
        return new UUID(high, low).toString();
    }
}
