package kelphollow.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.concurrent.Semaphore;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/**
 * One writer that waits for each of its records, and the bare appending and syncing of the same bytes to two files, in
 * turn: ten of these, ten of those. A disk that swings from second to second then swings for both, which two rounds of
 * {@link CommitBench} one after the other do not have. Prints microseconds and the ratio bare to store.
 */
final class CommitTurns {
    private static final int TURNS = 1_000, IN_TURN = 10;
    private static final byte[] VALUE = new byte[100];

    private CommitTurns() {}

    public static void main(String[] args) throws Exception {
        String where = System.getProperty("kelphollow.bench.folder");
        Path folder = where == null ? Files.createTempDirectory("turns") : Files.createTempDirectory(Path.of(where),
            "turns");
        Histogram bare = new Histogram(3), stored = new Histogram(3);
        try (Store store = Store.open(new FolderDisk(folder.resolve("a")), new FolderDisk(folder.resolve("b")),
            StoreOptions.USUAL.withCompactBytesPerSecond(1 << 20), System::currentTimeMillis);
             FileChannel one = open(folder.resolve("raw0")); FileChannel two = open(folder.resolve("raw1"))) {
            FileChannel[] raw = {one, two};
            ByteBuffer record = ByteBuffer.allocateDirect(Format.FRAME_HEAD + Format.opLength(2 + 8, VALUE.length));
            Semaphore done = new Semaphore(0);
            for (int turn = 0, key = 0; turn < TURNS; turn++) {
                boolean counts = turn >= TURNS / 10;       // what comes before is warm-up
                for (int i = 0; i < IN_TURN; i++) {
                    long began = System.nanoTime();
                    bare(raw, record);
                    note(bare, began, counts);
                }
                for (int i = 0; i < IN_TURN; i++) {
                    byte[] bytes = ByteBuffer.allocate(8).putLong(key++ % 100_000).array();
                    long began = System.nanoTime();
                    store.write(new Batch().put("outcomes", bytes, VALUE), Durability.SYNCED, Runnable::run, fault -> {
                        if (fault != null) {
                            throw new IllegalStateException(fault);
                        }
                        done.release();
                    });
                    done.acquire();
                    note(stored, began, counts);
                }
            }
        }
        for (double p : new double[] {25, 50, 75, 90}) {
            double b = bare.getValueAtPercentile(p) / 1e3, s = stored.getValueAtPercentile(p) / 1e3;
            System.out.printf("%.0f%%: bare %.0f us, store %.0f us, ratio %.2f%n", p, b, s, b / s);
        }
        System.out.printf("mean: bare %.0f us, store %.0f us, ratio %.2f%n", bare.getMean() / 1e3, stored.getMean() / 1e3,
            bare.getMean() / stored.getMean());
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    private static FileChannel open(Path path) throws IOException {
        return FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    private static void note(Histogram histogram, long began, boolean counts) {
        if (counts) {
            histogram.recordValue(System.nanoTime() - began);
        }
    }

    private static void bare(FileChannel[] raw, ByteBuffer record) throws IOException {
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
