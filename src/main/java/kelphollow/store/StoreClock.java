package kelphollow.store;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** A clock in Unix milliseconds that never goes back, so that expired keys stay expired. Thread-safe. */
final class StoreClock implements LongSupplier {
    private final LongSupplier source;
    private final AtomicLong latest;

    /** Creates a clock that never returns less than {@code latest}, the latest time that the store has recorded. */
    StoreClock(LongSupplier source, long latest) {
        this.source = source;
        this.latest = new AtomicLong(latest);
    }

    @Override public long getAsLong() {
        return latest.accumulateAndGet(source.getAsLong(), Math::max);
    }
}
