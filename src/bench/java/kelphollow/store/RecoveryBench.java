package kelphollow.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/** Measures opening a store of a million records, compared with reading the same bytes and computing their checksum. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SingleShotTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
@Fork(value = 1, jvmArgsAppend = "-Xmx3g")
@Warmup(iterations = 3)
@Measurement(iterations = 10)
public class RecoveryBench {
    private static final int RECORDS = 1_000_000;
    /** Bytes of a key in the index: 16 and the table number. */
    private static final int KEY_BYTES = 16 + Tables.NUMBER_BYTES;
    private Path folder;
    private FolderDisk first;
    private FolderDisk second;

    @Setup(Level.Trial) public void fill() throws Exception {
        folder = BenchFolder.create();
        first = new FolderDisk(folder.resolve("a"));
        second = new FolderDisk(folder.resolve("b"));
        try (Store store = open(false)) {
            Runtime runtime = Runtime.getRuntime();
            System.gc();
            long before = runtime.totalMemory() - runtime.freeMemory();
            byte[] value = new byte[100];
            for (int i = 0; i < RECORDS; i += 100) {
                Batch batch = new Batch();
                for (int j = i; j < i + 100; j++) {
                    batch.put("outcomes", key(j), value);
                }
                store.write(batch, Durability.BUFFERED, Runnable::run, fault -> {});
            }
            System.gc();
            long heap = runtime.totalMemory() - runtime.freeMemory() - before;
            Store.Stats stats = store.stats();
            double amplification = stats.writtenBytes() / (double) stats.payloadBytes();
            System.out.printf(
                "heap a key beside the key: %.1f bytes; written for a byte of payload: %.2f, of it %.2f a copy%n",
                heap / (double) stats.keys() - KEY_BYTES, amplification, amplification / 2);
            store.runMaintenance();
        }
    }

    /** Returns keys in no particular order, like request ids. */
    private static byte[] key(long number) {
        return ByteBuffer.allocate(16).putLong(number * 0x9E3779B97F4A7C15L).putLong(number).array();
    }

    private Store open(boolean checkAll) throws IOException, StoreFault {
        StoreOptions options = StoreOptions.DEFAULTS.withInline(true).withCheckAll(checkAll);
        return Store.open(first, second, options, System::currentTimeMillis);
    }

    @TearDown(Level.Trial) public void delete() throws IOException {
        BenchFolder.delete(folder);
    }

    @Benchmark public int openByHints() throws IOException, StoreFault {
        try (Store store = open(false)) {
            return store.index().size();
        }
    }

    @Benchmark public int openReadingAll() throws IOException, StoreFault {
        try (Store store = open(true)) {
            return store.index().size();
        }
    }

    @Benchmark public int readAndChecksum() throws IOException {
        int sum = 0;
        for (FolderDisk disk : new FolderDisk[] {first, second}) {
            for (String name : disk.names()) {
                if (name.endsWith(".seg")) {
                    byte[] bytes = AtomicFile.read(disk, name);
                    sum ^= Format.crc(bytes, 0, bytes.length);
                }
            }
        }
        return sum;
    }
}
