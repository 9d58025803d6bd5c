package kelphollow.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures the delay of an event loop while the store is overwritten and compacts: a thread with a turn due every
 * millisecond submits writes at each turn and records how late the turn started. Compares it with the same thread without
 * a store.
 */
public final class CompactionPauses {
    private static final int TURNS = 20_000;
    /** Number of first turns that are not recorded. */
    private static final int WARM_UP_TURNS = 2_000;
    private static final long TURN_NANOS = 1_000_000;
    private static final int WRITES_PER_TURN = 4;
    private static final int KEYS = 20_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private CompactionPauses() {}

    /** Runs the comparison and prints it. */
    public static void main(String[] args) throws IOException, InterruptedException, StoreFault {
        Path folder = BenchFolder.create();
        Histogram bare = runTurns(null);
        Histogram busy;
        StoreOptions options =
            StoreOptions.DEFAULTS.withSegmentBytes(4 << 20).withCompactBytesPerSecond(256 << 20);
        try (Store store = Store.open(new FolderDisk(folder.resolve("a")), new FolderDisk(folder.resolve("b")), options,
            System::currentTimeMillis)) {
            busy = runTurns(store);
            Store.Stats stats = store.stats();
            System.out.printf("written for a byte of payload, both copies: %.2f; space for what is live: %.2f%n",
                stats.writtenBytes() / (double) stats.payloadBytes(), stats.bytes() / (double) stats.liveBytes());
        } finally {
            BenchFolder.delete(folder);
        }
        print("without a store", bare);
        print("while it compacts", busy);
    }

    private static void print(String label, Histogram lateness) {
        System.out.printf("%s: late by %.3f ms at the median, %.3f at 99%%, %.3f at 99.9%%, %.3f at most%n", label,
            lateness.getValueAtPercentile(50) / NANOS_PER_MILLI, lateness.getValueAtPercentile(99) / NANOS_PER_MILLI,
            lateness.getValueAtPercentile(99.9) / NANOS_PER_MILLI, lateness.getMaxValue() / NANOS_PER_MILLI);
    }

    private static Histogram runTurns(Store store) throws InterruptedException {
        Histogram lateness = new Histogram(3);
        long due = System.nanoTime();
        for (int turn = 0; turn < TURNS; turn++) {
            due += TURN_NANOS;
            long remaining = due - System.nanoTime();
            if (remaining > 0) {
                TimeUnit.NANOSECONDS.sleep(remaining);
            }
            long now = System.nanoTime();
            if (turn > WARM_UP_TURNS) {
                lateness.recordValue(Math.max(0, now - due));
            }
            due = Math.max(due, now - TURN_NANOS);
            if (store != null) {
                write(store, turn);
            }
        }
        return lateness;
    }

    private static void write(Store store, int turn) {
        for (int i = 0; i < WRITES_PER_TURN; i++) {
            byte[] key = ByteBuffer.allocate(8).putLong((turn * (long) WRITES_PER_TURN + i) * 31 % KEYS).array();
            Batch batch = new Batch().put("outcomes", key, new byte[400]);
            store.write(batch, Durability.BUFFERED, Runnable::run, fault -> {});
        }
    }
}
