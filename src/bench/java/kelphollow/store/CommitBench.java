package kelphollow.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Synced records per second, by how many are in flight, compared with the bare appending and syncing of the same bytes to
 * two files: {@code raw} writes as many records with each sync as there are writers, which is the best that group commit
 * can do.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.SECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 2)
@Measurement(iterations = 5, time = 3)
public class CommitBench {
    private static final int RECORDS = 512;
    private static final byte[] VALUE = new byte[100];

    @Param({"1", "16", "256"})
    int writers;

    private Path folder;
    private Store store;
    private FileChannel[] raw;
    private ByteBuffer group;
    /** A permit for each record that may still be in flight. */
    private Semaphore free;
    private final AtomicLong keys = new AtomicLong();

    /** Uses a folder in the one that {@code -Dkelphollow.bench.folder} names, or in the system's temporary folder. */
    @Setup(Level.Trial) public void open() throws Exception {
        folder = BenchFolder.create();
        store = Store.open(new FolderDisk(folder.resolve("a")), new FolderDisk(folder.resolve("b")),
            StoreOptions.DEFAULTS.withCompactBytesPerSecond(1 << 20), System::currentTimeMillis);
        raw = new FileChannel[2];
        for (int i = 0; i < 2; i++) {
            raw[i] = FileChannel.open(folder.resolve("raw" + i), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        }
        int record = Format.FRAME_HEADER_BYTES + Operation.lengthOf(2 + 8, VALUE.length);
        group = ByteBuffer.allocateDirect(writers * record);
        free = new Semaphore(writers);
    }

    @TearDown(Level.Trial) public void close() throws IOException {
        store.close();
        for (FileChannel channel : raw) {
            channel.close();
        }
        BenchFolder.delete(folder);
    }

    @Benchmark @OperationsPerInvocation(RECORDS) public void store() throws InterruptedException {
        for (int i = 0; i < RECORDS; i++) {
            free.acquire();
            byte[] key = ByteBuffer.allocate(8).putLong(keys.incrementAndGet() % 100_000).array();
            store.write(new Batch().put("outcomes", key, VALUE), Durability.SYNCED, Runnable::run, fault -> {
                if (fault != null) {
                    throw new IllegalStateException(fault);
                }
                free.release();
            });
        }
        free.acquire(writers);
        free.release(writers);
    }

    @Benchmark @OperationsPerInvocation(RECORDS) public void raw() throws IOException {
        for (int i = 0; i < RECORDS; i += writers) {
            for (FileChannel channel : raw) {
                ByteBuffer bytes = group.duplicate();
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
            }
            for (FileChannel channel : raw) {
                channel.force(false);
            }
        }
    }
}
