package kelphollow.store;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** A clock in Unix milliseconds that never goes back, so that what has expired stays expired. Thread-safe. */
final class StoreClock implements LongSupplier {
    private final LongSupplier source;
    private final AtomicLong latest;

    /** Starts at the latest time that the store has recorded. */
    StoreClock(LongSupplier source, long latest) {
        this.source = source;
        this.latest = new AtomicLong(latest);
    }

    @Override public long getAsLong() {
        return latest.accumulateAndGet(source.getAsLong(), Math::max);
    }
}
