package kelphollow.store;

import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/**
 * How late a thread that stands for the event loop turns while the store is overwritten and compacts: it wants to turn
 * every millisecond, hands over a write at each turn, and counts how much too late it is. Beside it the same thread
 * without a store.
 */
public final class CompactionPauses {
    private static final int TURNS = 20_000;

    private CompactionPauses() {}

    public static void main(String[] args) throws Exception {
        String where = System.getProperty("kelphollow.bench.folder");
        Path folder = where == null ? Files.createTempDirectory("bench") : Files.createTempDirectory(Path.of(where),
            "bench");
        Histogram bare = turns(null);
        Histogram busy;
        try (Store store = Store.open(new FolderDisk(folder.resolve("a")), new FolderDisk(folder.resolve("b")),
            StoreOptions.USUAL.withSegmentBytes(4 << 20).withCompactBytesPerSecond(256 << 20), System::currentTimeMillis)) {
            busy = turns(store);
            Store.Stats s = store.stats();
            System.out.printf("written for a byte of payload, both copies: %.2f; space for what is live: %.2f%n",
                s.written() / (double) s.payload(), s.length() / (double) s.live());
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
        print("without a store", bare);
        print("while it compacts", busy);
    }

    private static void print(String what, Histogram late) {
        System.out.printf("%s: late by %.3f ms at the median, %.3f at 99%%, %.3f at 99.9%%, %.3f at most%n", what,
            late.getValueAtPercentile(50) / 1e6, late.getValueAtPercentile(99) / 1e6,
            late.getValueAtPercentile(99.9) / 1e6, late.getMaxValue() / 1e6);
    }

    private static Histogram turns(Store store) throws InterruptedException {
        Histogram late = new Histogram(3);
        long due = System.nanoTime();
        for (int i = 0; i < TURNS; i++) {
            due += 1_000_000;
            long left = due - System.nanoTime();
            if (left > 0) {
                TimeUnit.NANOSECONDS.sleep(left);
            }
            long now = System.nanoTime();
            if (i > 2_000) {
                late.recordValue(Math.max(0, now - due));
            }
            due = Math.max(due, now - 1_000_000);
            if (store != null) {
                for (int j = 0; j < 4; j++) {
                    byte[] key = ByteBuffer.allocate(8).putLong((i * 4L + j) * 31 % 20_000).array();
                    store.write(new Batch().put("outcomes", key, new byte[400]), Durability.BUFFERED, Runnable::run,
                        f -> {});
                }
            }
        }
        return late;
    }
}
