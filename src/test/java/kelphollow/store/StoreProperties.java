package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Any sequence of calls, kills and power cuts, against a plain map. jqwik shrinks a failing one and prints its seed. */
class StoreProperties {
    enum What { PUT, PUT_BUFFERED, PUT_UNTIL, REMOVE, PAIR, LATER, TIDY, COMPACT, REOPEN, KILL, POWER_CUT }

    record Step(What what, int key, int size) {}

    @Provide Arbitrary<List<Step>> steps() {
        Arbitrary<What> what = Arbitraries.frequencyOf(
            net.jqwik.api.Tuple.of(12, Arbitraries.of(What.PUT, What.PUT_BUFFERED, What.REMOVE, What.PAIR)),
            net.jqwik.api.Tuple.of(4, Arbitraries.of(What.PUT_UNTIL, What.LATER, What.TIDY, What.COMPACT)),
            net.jqwik.api.Tuple.of(1, Arbitraries.of(What.REOPEN, What.KILL, What.POWER_CUT)));
        return Combinators.combine(what, Arbitraries.integers().between(0, 11), Arbitraries.integers().between(0, 300))
            .as(Step::new).list().ofMinSize(1).ofMaxSize(120);
    }

    /** What is live now: expiry is part of the model. */
    private static Map<String, String> live(Map<String, String> model, Map<String, Long> until, long now) {
        Map<String, String> live = new TreeMap<>(model);
        live.keySet().removeIf(k -> until.getOrDefault(k, Long.MAX_VALUE) <= now);
        return live;
    }

    @Property(tries = 300, seed = "7") void theStoreHoldsWhatAMapWould(
        @ForAll("steps") List<Step> steps, @ForAll long seed) throws Exception {
        Random random = new Random(seed);
        StoreHarness rig = new StoreHarness();
        rig.options = StoreHarness.SMALL.withCheckAll(random.nextBoolean());
        rig.open();
        Map<String, String> model = new TreeMap<>();
        Map<String, Long> until = new TreeMap<>();
        // What a power cut may fall back to: the states since the last synced batch, oldest first.
        List<Map<String, String>> unsynced = new ArrayList<>();
        int n = 0;
        for (Step s : steps) {
            String key = "key" + s.key, name = "t/" + key, value = n++ + "x".repeat(s.size);
            Batch batch = new Batch();
            Durability grade = Durability.SYNCED;
            switch (s.what) {
                case PUT, PUT_BUFFERED -> batch.put("t", StoreHarness.bytes(key), StoreHarness.bytes(value));
                case PUT_UNTIL -> batch.put("t", StoreHarness.bytes(key), StoreHarness.bytes(value), rig.now + 10);
                case REMOVE -> batch.remove("t", StoreHarness.bytes(key));
                case PAIR -> batch.put("t", StoreHarness.bytes(key), StoreHarness.bytes(value)).remove("t", StoreHarness
                    .bytes("key0"));
                case LATER -> rig.now += s.size / 10;
                case TIDY -> rig.store.tidy();
                case COMPACT -> rig.store.compactAll();
                case REOPEN -> rig.reopen();
                case KILL -> rig.kill();
                case POWER_CUT -> {
                    rig.on(rig.a.afterCut(random), rig.b.afterCut(random)).open();
                    Map<String, String> found = StoreHarness.contents(rig.store);
                    List<Map<String, String>> allowed = new ArrayList<>(unsynced);
                    allowed.add(model);
                    long now = rig.now;
                    model = allowed.stream().filter(m -> live(m, until, now).equals(found)).reduce((x, y) -> y)
                        .orElseThrow(() -> new AssertionError("found " + found + ", allowed " + allowed));
                    unsynced.clear();
                }
                default -> throw new IllegalStateException();
            }
            if (!batch.isEmpty()) {
                grade = s.what == What.PUT_BUFFERED ? Durability.BUFFERED : grade;
                if (grade == Durability.BUFFERED) {
                    unsynced.add(new TreeMap<>(model));
                }
                assertNull(rig.write(batch, grade));
                StoreHarness.apply(batch, model);
                batch.changes().forEach(c -> until.put("t/" + StoreHarness.text(c.key()),
                    c.expires() == 0 ? Long.MAX_VALUE : c.expires()));
                if (grade == Durability.SYNCED) {
                    unsynced.clear();
                }
            }
            Map<String, String> want = live(model, until, rig.now);
            assertEquals(want.get(name), rig.get("t", key));
        }
        assertEquals(live(model, until, rig.now), StoreHarness.contents(rig.store));
        rig.kill();
        assertEquals(live(model, until, rig.now), StoreHarness.contents(rig.store));
    }

    /** The index alone, in sizes at which leaves split and merge. */
    @Property(tries = 40, seed = "11") void theIndexHoldsWhatATreeMapWould(@ForAll long seed) {
        Random random = new Random(seed);
        Index.Editor editor = new Index.Editor(Index.EMPTY);
        TreeMap<String, Integer> model = new TreeMap<>();
        Index old = editor.publish();
        Map<String, Integer> oldModel = new TreeMap<>();
        int range = 1 + random.nextInt(3_000);
        boolean growing = true;
        for (int i = 0; i < 8_000; i++) {
            growing = i % 2_000 == 0 ? random.nextBoolean() : growing;
            String key = Integer.toString(random.nextInt(range), 36);
            if (random.nextInt(4) == 0 == growing) {
                Index.Place gone = editor.remove(key.getBytes());
                assertEquals(model.remove(key), gone == null ? null : (Integer) gone.offset());
            } else {
                Index.Place before = editor.put(key.getBytes(), new Index.Place(1, i, 2, 3, 4));
                assertEquals(model.put(key, i), before == null ? null : (Integer) before.offset());
            }
            if (random.nextInt(500) == 0) {
                assertEquals(oldModel, all(old), "what was published never changes");
                old = editor.publish();
                oldModel = new TreeMap<>(model);
            }
        }
        assertEquals(model, all(editor.publish()));
        assertEquals(model.size(), editor.size());
    }

    private static Map<String, Integer> all(Index index) {
        Map<String, Integer> all = new java.util.LinkedHashMap<>();
        index.walk(new byte[0], (k, p) -> all.put(new String(k), p.offset()) == null);
        return all;
    }
}
