package kelphollow.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * How late an event loop turns while the store is overwritten and compacts: a thread that wants to turn every millisecond
 * submits writes at each turn and records how much too late it is. Compared with the same thread without a store.
 */
public final class CompactionPauses {
    private static final int TURNS = 20_000;
    /** Turns that are not counted. */
    private static final int WARM_UP_TURNS = 2_000;
    private static final long TURN_NANOS = 1_000_000;
    private static final int WRITES_IN_TURN = 4;
    private static final int KEYS = 20_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private CompactionPauses() {}

    /** Runs the comparison and prints it. */
    public static void main(String[] args) throws IOException, InterruptedException, StoreFault {
        Path folder = BenchFolder.create();
        Histogram bare = turns(null);
        Histogram busy;
        StoreOptions options =
            StoreOptions.DEFAULTS.withSegmentBytes(4 << 20).withCompactBytesPerSecond(256 << 20);
        try (Store store = Store.open(new FolderDisk(folder.resolve("a")), new FolderDisk(folder.resolve("b")), options,
            System::currentTimeMillis)) {
            busy = turns(store);
            Store.Stats stats = store.stats();
            System.out.printf("written for a byte of payload, both copies: %.2f; space for what is live: %.2f%n",
                stats.writtenBytes() / (double) stats.payloadBytes(), stats.bytes() / (double) stats.liveBytes());
        } finally {
            BenchFolder.delete(folder);
        }
        print("without a store", bare);
        print("while it compacts", busy);
    }

    private static void print(String what, Histogram late) {
        System.out.printf("%s: late by %.3f ms at the median, %.3f at 99%%, %.3f at 99.9%%, %.3f at most%n", what,
            late.getValueAtPercentile(50) / NANOS_PER_MILLI, late.getValueAtPercentile(99) / NANOS_PER_MILLI,
            late.getValueAtPercentile(99.9) / NANOS_PER_MILLI, late.getMaxValue() / NANOS_PER_MILLI);
    }

    private static Histogram turns(Store store) throws InterruptedException {
        Histogram late = new Histogram(3);
        long due = System.nanoTime();
        for (int turn = 0; turn < TURNS; turn++) {
            due += TURN_NANOS;
            long left = due - System.nanoTime();
            if (left > 0) {
                TimeUnit.NANOSECONDS.sleep(left);
            }
            long now = System.nanoTime();
            if (turn > WARM_UP_TURNS) {
                late.recordValue(Math.max(0, now - due));
            }
            due = Math.max(due, now - TURN_NANOS);
            if (store != null) {
                write(store, turn);
            }
        }
        return late;
    }

    private static void write(Store store, int turn) {
        for (int i = 0; i < WRITES_IN_TURN; i++) {
            byte[] key = ByteBuffer.allocate(8).putLong((turn * (long) WRITES_IN_TURN + i) * 31 % KEYS).array();
            Batch batch = new Batch().put("outcomes", key, new byte[400]);
            store.write(batch, Durability.BUFFERED, Runnable::run, fault -> {});
        }
    }
}
