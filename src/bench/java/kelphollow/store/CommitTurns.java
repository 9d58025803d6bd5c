package kelphollow.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.Semaphore;
import org.HdrHistogram.Histogram;

/**
 * Compares one writer that waits for each of its records with plain appends and syncs of the same bytes to two files, in
 * alternating groups of ten. A disk whose speed varies from second to second then affects both equally, unlike in two
 * consecutive runs of {@link CommitBench}. Prints microseconds and the ratio bare to store.
 */
final class CommitTurns {
    private static final int TURNS = 1_000;
    /** Number of first turns that are not recorded. */
    private static final int WARM_UP_TURNS = TURNS / 10;
    private static final int RECORDS_PER_TURN = 10;
    private static final int KEYS = 100_000;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final byte[] VALUE = new byte[100];

    private CommitTurns() {}

    /** Runs the comparison and prints it. */
    public static void main(String[] args) throws IOException, InterruptedException, StoreFault {
        Path folder = BenchFolder.create();
        Histogram bare = new Histogram(3);
        Histogram stored = new Histogram(3);
        StoreOptions options = StoreOptions.DEFAULTS.withCompactBytesPerSecond(1 << 20);
        try (Store store = Store.open(new FolderDisk(folder.resolve("a")), new FolderDisk(folder.resolve("b")), options,
            System::currentTimeMillis);
             FileChannel first = open(folder.resolve("raw0"));
             FileChannel second = open(folder.resolve("raw1"))) {
            FileChannel[] raw = {first, second};
            ByteBuffer record = ByteBuffer.allocateDirect(Format.FRAME_HEADER_BYTES + Operation.lengthOf(2 + 8,
                VALUE.length));
            Semaphore committed = new Semaphore(0);
            int key = 0;
            for (int turn = 0; turn < TURNS; turn++) {
                boolean warmedUp = turn >= WARM_UP_TURNS;
                for (int i = 0; i < RECORDS_PER_TURN; i++) {
                    long startNanos = System.nanoTime();
                    writeBare(raw, record);
                    count(bare, startNanos, warmedUp);
                }
                for (int i = 0; i < RECORDS_PER_TURN; i++) {
                    byte[] bytes = ByteBuffer.allocate(8).putLong(key % KEYS).array();
                    key++;
                    long startNanos = System.nanoTime();
                    write(store, bytes, committed);
                    count(stored, startNanos, warmedUp);
                }
            }
        }
        print(bare, stored);
        BenchFolder.delete(folder);
    }

    private static void write(Store store, byte[] key, Semaphore committed) throws InterruptedException {
        store.write(new Batch().put("outcomes", key, VALUE), Durability.SYNCED, Runnable::run, fault -> {
            if (fault != null) {
                throw new IllegalStateException(fault);
            }
            committed.release();
        });
        committed.acquire();
    }

    private static void print(Histogram bare, Histogram stored) {
        for (double percentile : new double[] {25, 50, 75, 90}) {
            double bareMicros = bare.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
            double storedMicros = stored.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
            System.out.printf("%.0f%%: bare %.0f us, store %.0f us, ratio %.2f%n", percentile, bareMicros, storedMicros,
                bareMicros / storedMicros);
        }
        System.out.printf("mean: bare %.0f us, store %.0f us, ratio %.2f%n", bare.getMean() / NANOS_PER_MICRO,
            stored.getMean() / NANOS_PER_MICRO, bare.getMean() / stored.getMean());
    }

    private static FileChannel open(Path path) throws IOException {
        return FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    private static void count(Histogram histogram, long startNanos, boolean warmedUp) {
        if (warmedUp) {
            histogram.recordValue(System.nanoTime() - startNanos);
        }
    }

    private static void writeBare(FileChannel[] raw, ByteBuffer record) throws IOException {
        for (FileChannel channel : raw) {
            ByteBuffer bytes = record.duplicate();
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }
        for (FileChannel channel : raw) {
            channel.force(false);
        }
    }
}
