package kelphollow.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * The process that {@link KillTest} kills. Several threads overwrite and remove keys, each thread its own, and wait for each
 * acknowledgement. Prints each write before it is submitted and again after it is acknowledged.
 */
final class KillChild {
    /** First word of the line before a write: {@code try KEY NUMBER 1}, with 0 instead of 1 for a removal. */
    static final String TRY = "try";
    /** First word of the line after an acknowledged write: {@code ack KEY NUMBER}. */
    static final String ACKNOWLEDGED = "ack";
    /** Small segments, so that kills also hit rotations and compactions. */
    static final StoreOptions OPTIONS = StoreOptions.DEFAULTS.withSegmentBytes(16 * 1024);
    private static final int WRITERS = 4;
    private static final int KEYS = 12;

    private KillChild() {}

    public static void main(String[] args) throws IOException, StoreFault {
        long incarnation = Long.parseLong(args[2]);
        Store store = Store.open(new FolderDisk(Path.of(args[0])), new FolderDisk(Path.of(args[1])), OPTIONS,
            System::currentTimeMillis);
        print("open");
        for (int i = 0; i < WRITERS; i++) {
            int writer = i;
            new Thread(() -> write(store, incarnation, writer)).start();
        }
    }

    /** Prints a line in one system call, so that a kill does not split it. */
    private static void print(String line) {
        byte[] bytes = (line + "\n").getBytes();
        synchronized (KillChild.class) {
            System.out.write(bytes, 0, bytes.length);
            System.out.flush();
        }
    }

    private static void write(Store store, long incarnation, int writer) {
        Random random = new Random(incarnation * 100 + writer);
        for (long n = 1; n < 100_000; n++) {
            String key = writer + "/" + random.nextInt(KEYS);
            long number = incarnation * 1_000_000 + n;
            boolean removes = random.nextInt(6) == 0;
            Batch batch = new Batch();
            if (removes) {
                batch.remove("outcomes", key.getBytes());
            } else {
                batch.put("outcomes", key.getBytes(), (number + " " + "x".repeat(random.nextInt(400))).getBytes());
            }
            batch.put("last", key.getBytes(), Long.toString(number).getBytes());
            print(TRY + " " + key + " " + number + " " + (removes ? 0 : 1));
            CompletableFuture<StoreFault> result = new CompletableFuture<>();
            store.write(batch, Durability.SYNCED, Runnable::run, result::complete);
            if (result.join() != null) {
                return;
            }
            print(ACKNOWLEDGED + " " + key + " " + number);
        }
    }
}
