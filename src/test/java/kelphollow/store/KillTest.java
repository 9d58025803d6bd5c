package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A real process on real folders is killed at random, again and again: what it said was acknowledged is there, what it
 * never tried is not, and both changes of a batch stand or fall together. 12 kills here; the profile {@code campaign}
 * makes 2,000 (see docs/measurements/STORE.md).
 */
class KillTest {
    private static final int KILLS = Integer.getInteger("kelphollow.kills", 12);
    private static final int LANES = Integer.getInteger("kelphollow.kill.lanes", 4);
    @TempDir
    Path folder;

    /** What was tried last and acknowledged last on one key. */
    private static final class Key {
        long acknowledged, tried;
        /** Whether the write of a number leaves a value. */
        final Map<Long, Boolean> leaves = new HashMap<>(Map.of(0L, false));
    }

    @Test void nothingAcknowledgedIsLostAndNothingInventedBySigkill() throws Exception {
        Thread[] lanes = new Thread[LANES];
        Throwable[] failed = new Throwable[LANES];
        long[] acknowledged = new long[LANES];
        for (int i = 0; i < LANES; i++) {
            int lane = i;
            lanes[i] = new Thread(() -> {
                try {
                    acknowledged[lane] = lane(lane, KILLS / LANES);
                } catch (Throwable e) {
                    failed[lane] = e;
                }
            });
            lanes[i].start();
        }
        for (int i = 0; i < LANES; i++) {
            lanes[i].join();
        }
        for (Throwable e : failed) {
            if (e != null) {
                throw new AssertionError("a lane failed", e);
            }
        }
        long sum = java.util.Arrays.stream(acknowledged).sum();
        System.out.println(KILLS / LANES * LANES + " kills, " + sum + " writes acknowledged, none lost, none invented");
        assertTrue(sum > 10 * KILLS, "the writers came to write: " + sum);
    }

    private long lane(int lane, int kills) throws Exception {
        Path a = folder.resolve(lane + "a"), b = folder.resolve(lane + "b"), said = folder.resolve(lane + "said");
        Random random = new Random(lane);
        Map<String, Key> keys = new HashMap<>();
        long acknowledged = 0;
        for (int life = 1; life <= kills; life++) {
            Process child = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", System.getProperty("java.class.path"),
                KillChild.class.getName(), a.toString(), b.toString(), Integer.toString(life))
                .redirectOutput(said.toFile()).redirectError(ProcessBuilder.Redirect.DISCARD).start();
            // One life in five is killed while it starts and recovers, the others once they have written so much.
            if (random.nextInt(5) == 0) {
                TimeUnit.MILLISECONDS.sleep(40 + random.nextInt(500));
            } else {
                awaitBytes(said, 1 + random.nextInt(12_000), child);
            }
            child.destroyForcibly().waitFor();
            String all = Files.readString(said);
            for (String line : all.substring(0, all.lastIndexOf('\n') + 1).lines().toList()) {
                String[] words = line.split(" ");
                if (words[0].equals("try")) {
                    Key key = keys.computeIfAbsent(words[1], k -> new Key());
                    key.tried = Long.parseLong(words[2]);
                    key.leaves.put(key.tried, words[3].equals("1"));
                } else if (words[0].equals("ack")) {
                    keys.get(words[1]).acknowledged = Long.parseLong(words[2]);
                    acknowledged++;
                }
            }
            check(a, b, keys, "lane " + lane + ", kill " + life);
        }
        return acknowledged;
    }

    /** Waits until the child has said so many bytes; half a minute at most, so that a child that hangs is seen. */
    private static void awaitBytes(Path said, long bytes, Process child) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (Files.size(said) < bytes && child.isAlive() && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertTrue(Files.size(said) >= bytes && child.isAlive(), "the child writes until it is killed");
    }

    private static void check(Path a, Path b, Map<String, Key> keys, String what) throws Exception {
        StoreOptions options = KillChild.OPTIONS.withInline(true).withCheckAll(true);
        try (Store store = Store.open(new FolderDisk(a), new FolderDisk(b), options, System::currentTimeMillis)) {
            for (Map.Entry<String, Key> e : keys.entrySet()) {
                Key key = e.getValue();
                byte[] last = store.get("last", e.getKey().getBytes());
                long found = last == null ? 0 : Long.parseLong(new String(last));
                assertTrue(found == key.acknowledged || found == key.tried,
                    what + ", key " + e.getKey() + ": found " + found + ", acknowledged " + key.acknowledged
                        + ", tried " + key.tried);
                byte[] value = store.get("outcomes", e.getKey().getBytes());
                assertEquals(key.leaves.get(found), value != null, what + ", key " + e.getKey() + " at " + found);
                if (value != null) {
                    assertEquals(Long.toString(found), new String(value).split(" ")[0], what);
                }
                key.acknowledged = key.tried = found;
            }
            assertEquals(keys.values().stream().filter(k -> k.leaves.get(k.acknowledged)).count(),
                StoreHarness.contents(store).keySet().stream().filter(k -> k.startsWith("outcomes/")).count(), what);
        }
    }
}
