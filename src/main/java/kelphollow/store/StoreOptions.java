package kelphollow.store;

/**
 * Options of a store. Sizes are in bytes, times in milliseconds.
 *
 * @param segmentBytes size at which a segment is sealed and the next one is created
 * @param maxBatchBytes maximum size of a batch: keys, values and their headers; may exceed {@code segmentBytes}
 * @param queueBytes maximum total size of queued batches; beyond it writes fail with {@link StoreFault.Kind#QUEUE_FULL}
 * @param groupBytes maximum size of a group of batches that share one sync; a single larger batch is still written
 * @param compactBytesPerSecond rate limit of the reads and writes of background work
 * @param scrubIntervalMillis interval at which both copies of all sealed segments are read and repaired; 0 disables it
 * @param checkAll whether an opening reads every segment completely instead of the hints of sealed ones
 * @param inline whether to use no threads, for tests and tools: batches are written by the thread that submits them, and
 *     background work runs only on request
 */
public record StoreOptions(long segmentBytes, int maxBatchBytes, long queueBytes, int groupBytes,
                           long compactBytesPerSecond, long scrubIntervalMillis, boolean checkAll, boolean inline) {
    private static final int MIB = 1 << 20;
    private static final int GIB = 1 << 30;
    private static final long DAY_MILLIS = 24 * 3_600_000L;
    private static final int MIN_BYTES = 256;
    private static final int MAX_BATCH_BYTES = 256 * MIB;

    /** The default options. */
    public static final StoreOptions DEFAULTS =
        new StoreOptions(16 * MIB, 4 * MIB, 32 * MIB, MIB, 32 * MIB, DAY_MILLIS, false, false);

    /** Throws {@link IllegalArgumentException} for a value that is out of bounds. */
    public StoreOptions {
        require(segmentBytes >= MIN_BYTES && segmentBytes <= GIB, "segmentBytes must be 256 to 1 GiB, found "
            + segmentBytes);
        require(maxBatchBytes >= MIN_BYTES && maxBatchBytes <= MAX_BATCH_BYTES,
            "maxBatchBytes must be 256 to 256 MiB, found "
                + maxBatchBytes);
        require(queueBytes >= maxBatchBytes, "queueBytes must be at least maxBatchBytes " + maxBatchBytes + ", found "
            + queueBytes);
        require(groupBytes >= 1, "groupBytes must be at least 1, found " + groupBytes);
        require(scrubIntervalMillis >= 0, "scrubIntervalMillis must be at least 0, found " + scrubIntervalMillis);
        require(compactBytesPerSecond >= 1, "compactBytesPerSecond must be at least 1, found " + compactBytesPerSecond);
    }

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new IllegalArgumentException(message);
        }
    }

    /** A copy with another {@link #segmentBytes}. */
    public StoreOptions withSegmentBytes(long bytes) {
        return new StoreOptions(bytes, maxBatchBytes, queueBytes, groupBytes, compactBytesPerSecond, scrubIntervalMillis,
            checkAll,
            inline);
    }

    /** A copy with another {@link #checkAll}. */
    public StoreOptions withCheckAll(boolean all) {
        return new StoreOptions(segmentBytes, maxBatchBytes, queueBytes, groupBytes, compactBytesPerSecond,
            scrubIntervalMillis,
            all, inline);
    }

    /** A copy with another {@link #inline}. */
    public StoreOptions withInline(boolean isInline) {
        return new StoreOptions(segmentBytes, maxBatchBytes, queueBytes, groupBytes, compactBytesPerSecond,
            scrubIntervalMillis,
            checkAll, isInline);
    }

    /** A copy with another {@link #queueBytes}, and a {@link #maxBatchBytes} that fits into it. */
    public StoreOptions withQueueBytes(long bytes) {
        return new StoreOptions(segmentBytes, (int) Math.min(maxBatchBytes, bytes), bytes, groupBytes,
            compactBytesPerSecond, scrubIntervalMillis, checkAll, inline);
    }

    /** A copy with another {@link #compactBytesPerSecond}. */
    public StoreOptions withCompactBytesPerSecond(long bytes) {
        return new StoreOptions(segmentBytes, maxBatchBytes, queueBytes, groupBytes, bytes, scrubIntervalMillis, checkAll,
            inline);
    }

    /** A copy with another {@link #scrubIntervalMillis}. */
    public StoreOptions withScrubIntervalMillis(long millis) {
        return new StoreOptions(segmentBytes, maxBatchBytes, queueBytes, groupBytes, compactBytesPerSecond, millis,
            checkAll, inline);
    }
}
