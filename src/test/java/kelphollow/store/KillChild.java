package kelphollow.store;

import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * A process that is there to be killed: some writers overwrite and remove keys of their own, each waiting for its
 * acknowledgement. Before a write it prints what it will try, after it what was acknowledged.
 */
final class KillChild {
    static final int WRITERS = 4, KEYS = 12;
    /** Small segments, so that rotations and compactions are killed too. */
    static final StoreOptions OPTIONS = StoreOptions.USUAL.withSegmentBytes(16 * 1024);

    private KillChild() {}

    public static void main(String[] args) throws Exception {
        long life = Long.parseLong(args[2]);
        Store store = Store.open(new FolderDisk(Path.of(args[0])), new FolderDisk(Path.of(args[1])), OPTIONS,
            System::currentTimeMillis);
        say("open");
        for (int w = 0; w < WRITERS; w++) {
            int writer = w;
            new Thread(() -> write(store, life, writer)).start();
        }
    }

    /** One line is one call of the system, so that a kill leaves whole lines only. */
    private static void say(String line) {
        byte[] bytes = (line + "\n").getBytes();
        synchronized (KillChild.class) {
            System.out.write(bytes, 0, bytes.length);
            System.out.flush();
        }
    }

    private static void write(Store store, long life, int writer) {
        Random random = new Random(life * 100 + writer);
        for (long n = 1; n < 100_000; n++) {
            String key = writer + "/" + random.nextInt(KEYS);
            long number = life * 1_000_000 + n;
            boolean removes = random.nextInt(6) == 0;
            Batch batch = new Batch();
            if (removes) {
                batch.remove("outcomes", key.getBytes());
            } else {
                batch.put("outcomes", key.getBytes(), (number + " " + "x".repeat(random.nextInt(400))).getBytes());
            }
            batch.put("last", key.getBytes(), Long.toString(number).getBytes());
            say("try " + key + " " + number + " " + (removes ? 0 : 1));
            CompletableFuture<StoreFault> done = new CompletableFuture<>();
            store.write(batch, Durability.SYNCED, Runnable::run, done::complete);
            if (done.join() != null) {
                return;
            }
            say("ack " + key + " " + number);
        }
    }
}
