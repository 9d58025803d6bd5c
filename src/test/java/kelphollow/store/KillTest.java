package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Repeatedly kills a process that writes to a store on real folders, at random times. After each kill every acknowledged
 * write must be found, no write that was never tried, and both changes of a batch or neither. Runs 12 kills by default; the
 * profile {@code campaign} runs 2,000 (see docs/measurements/STORE.md).
 */
class KillTest {
    private static final int KILLS = Integer.getInteger("kelphollow.kills", 12);
    /** Number of stores, each with its own process, that are tested in parallel. */
    private static final int PARALLEL_STORES = Integer.getInteger("kelphollow.kill.lanes", 4);
    @TempDir
    Path folder;

    /** The last tried and the last acknowledged write of one key. */
    private static final class Key {
        long acknowledged;
        long tried;
        /** Maps the number of a write to whether it sets a value rather than removes it. */
        final Map<Long, Boolean> leavesValue = new HashMap<>(Map.of(0L, false));
    }

    @Test void sigkillLosesNoAcknowledgedWriteAndLeavesNoUntriedOne() throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(PARALLEL_STORES);
        long acknowledged = 0;
        try {
            List<Future<Long>> runs = new ArrayList<>();
            for (int i = 0; i < PARALLEL_STORES; i++) {
                KilledStore store = new KilledStore(i, folder);
                runs.add(executor.submit(() -> store.run(KILLS / PARALLEL_STORES)));
            }
            for (Future<Long> run : runs) {
                acknowledged += run.get();
            }
        } finally {
            executor.shutdown();
            assertTrue(executor.awaitTermination(1, TimeUnit.HOURS), "all kill loops have ended");
        }
        System.out.println(KILLS / PARALLEL_STORES * PARALLEL_STORES + " kills, " + acknowledged
            + " writes acknowledged, none lost, none invented");
        assertTrue(acknowledged > 10 * KILLS, "too few acknowledged writes: " + acknowledged);
    }

    /** One store, and the processes that write to it one after the other. Confined to one thread. */
    private static final class KilledStore {
        private static final int MAX_OUTPUT_BYTES = 12_000;
        private final int number;
        private final Path first;
        private final Path second;
        private final Path output;
        private final Random random;
        private final Map<String, Key> keys = new HashMap<>();
        private long acknowledged;

        KilledStore(int number, Path folder) {
            this.number = number;
            this.first = folder.resolve(number + "a");
            this.second = folder.resolve(number + "b");
            this.output = folder.resolve(number + "output");
            this.random = new Random(number);
        }

        /** Starts and kills this many processes; returns the number of acknowledged writes. */
        long run(int kills) throws IOException, InterruptedException, StoreFault {
            for (int incarnation = 1; incarnation <= kills; incarnation++) {
                Process child = start(incarnation);
                // One process in five is killed while it starts and recovers, the others after a random amount of output.
                if (random.nextInt(5) == 0) {
                    TimeUnit.MILLISECONDS.sleep(40 + random.nextInt(500));
                } else {
                    awaitOutput(1 + random.nextInt(MAX_OUTPUT_BYTES), child);
                }
                child.destroyForcibly().waitFor();
                readOutput();
                assertKept("store " + number + ", kill " + incarnation);
            }
            return acknowledged;
        }

        private Process start(int incarnation) throws IOException {
            return new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", System.getProperty("java.class.path"),
                KillChild.class.getName(), first.toString(), second.toString(), Integer.toString(incarnation))
                .redirectOutput(output.toFile()).redirectError(ProcessBuilder.Redirect.DISCARD).start();
        }

        /** Waits until the child has written this many bytes; fails after 30 s, so that a hanging child is detected. */
        private void awaitOutput(long bytes, Process child) throws IOException, InterruptedException {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (Files.size(output) < bytes && child.isAlive() && System.nanoTime() < until) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            assertTrue(Files.size(output) >= bytes && child.isAlive(),
                "the child must be running and have written " + bytes + " bytes");
        }

        private void readOutput() throws IOException {
            String text = Files.readString(output);
            for (String line : text.substring(0, text.lastIndexOf('\n') + 1).lines().toList()) {
                String[] words = line.split(" ");
                if (words[0].equals(KillChild.TRY)) {
                    Key key = keys.computeIfAbsent(words[1], name -> new Key());
                    key.tried = Long.parseLong(words[2]);
                    key.leavesValue.put(key.tried, words[3].equals("1"));
                } else if (words[0].equals(KillChild.ACKNOWLEDGED)) {
                    keys.get(words[1]).acknowledged = Long.parseLong(words[2]);
                    acknowledged++;
                }
            }
        }

        private void assertKept(String context) throws IOException, StoreFault {
            StoreOptions options = KillChild.OPTIONS.withInline(true).withCheckAll(true);
            try (Store store = Store.open(new FolderDisk(first), new FolderDisk(second), options,
                System::currentTimeMillis)) {
                for (Map.Entry<String, Key> entry : keys.entrySet()) {
                    assertKept(store, entry.getKey(), entry.getValue(), context + ", key " + entry.getKey());
                }
                assertEquals(keys.values().stream().filter(key -> key.leavesValue.get(key.acknowledged)).count(),
                    StoreHarness.contents(store).keySet().stream().filter(key -> key.startsWith("outcomes/")).count(),
                    context);
            }
        }

        private static void assertKept(Store store, String name, Key key, String context) throws IOException, StoreFault {
            byte[] last = store.get("last", name.getBytes());
            long found = last == null ? 0 : Long.parseLong(new String(last));
            assertTrue(found == key.acknowledged || found == key.tried, context + ": found " + found
                + ", acknowledged " + key.acknowledged + ", tried " + key.tried);
            byte[] value = store.get("outcomes", name.getBytes());
            assertEquals(key.leavesValue.get(found), value != null, context + " at " + found);
            if (value != null) {
                assertEquals(Long.toString(found), new String(value).split(" ")[0], context);
            }
            key.acknowledged = found;
            key.tried = found;
        }
    }
}
