package kelphollow.store;

import java.util.UUID;

/** The 128 bits that tell one store's files from another's; drawn when the store is made. */
record StoreId(long high, long low) {
    static StoreId draw() {
        UUID id = UUID.randomUUID();
        return new StoreId(id.getMostSignificantBits(), id.getLeastSignificantBits());
    }

    @Override public String toString() {
        return new UUID(high, low).toString();
    }
}
