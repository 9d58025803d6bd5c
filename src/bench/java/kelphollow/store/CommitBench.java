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
 * Measures synced records per second by the number in flight, compared with plain appends and syncs of the same bytes to
 * two files: {@code raw} writes one record per writer with each sync, which is the upper bound for group commit.
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
    /** Holds one permit for each further record that may be in flight. */
    private Semaphore inFlightPermits;
    private final AtomicLong keys = new AtomicLong();

    /** Opens the store and the raw files in a new folder; see {@link BenchFolder}. */
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
        inFlightPermits = new Semaphore(writers);
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
            inFlightPermits.acquire();
            byte[] key = ByteBuffer.allocate(8).putLong(keys.incrementAndGet() % 100_000).array();
            store.write(new Batch().put("outcomes", key, VALUE), Durability.SYNCED, Runnable::run, fault -> {
                if (fault != null) {
                    throw new IllegalStateException(fault);
                }
                inFlightPermits.release();
            });
        }
        inFlightPermits.acquire(writers);
        inFlightPermits.release(writers);
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
