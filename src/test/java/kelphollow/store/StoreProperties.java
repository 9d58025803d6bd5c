package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
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
import net.jqwik.api.Tuple;

/** Compares the store with a map after random calls, kills and power cuts. jqwik shrinks failures and prints the seed. */
class StoreProperties {
    enum Kind {
        PUT, PUT_BUFFERED, PUT_WITH_EXPIRY, REMOVE, PUT_AND_REMOVE, ADVANCE_CLOCK, MAINTENANCE, COMPACT, REOPEN, KILL,
        POWER_CUT
    }

    record Step(Kind kind, int key, int size) {}

    @Provide Arbitrary<List<Step>> steps() {
        Arbitrary<Kind> kinds = Arbitraries.frequencyOf(
            Tuple.of(12, Arbitraries.of(Kind.PUT, Kind.PUT_BUFFERED, Kind.REMOVE, Kind.PUT_AND_REMOVE)),
            Tuple.of(4, Arbitraries.of(Kind.PUT_WITH_EXPIRY, Kind.ADVANCE_CLOCK, Kind.MAINTENANCE, Kind.COMPACT)),
            Tuple.of(1, Arbitraries.of(Kind.REOPEN, Kind.KILL, Kind.POWER_CUT)));
        return Combinators.combine(kinds, Arbitraries.integers().between(0, 11), Arbitraries.integers().between(0, 300))
            .as(Step::new).list().ofMinSize(1).ofMaxSize(120);
    }

    /** A store and the maps that it is compared with. */
    private static final class Comparison {
        private final Random random;
        private final StoreHarness harness = new StoreHarness();
        /** The expiry of each key, in Unix milliseconds; the model treats expired keys as absent. */
        private final Map<String, Long> expiries = new TreeMap<>();
        /** The states since the last synced batch, oldest first; a power cut may revert the store to any of them. */
        private final List<Map<String, String>> unsynced = new ArrayList<>();
        private Map<String, String> model = new TreeMap<>();
        private int steps;

        Comparison(long seed) throws IOException, StoreFault {
            random = new Random(seed);
            harness.options = StoreHarness.SMALL.withCheckAll(random.nextBoolean());
            harness.open();
        }

        void run(Step step) throws IOException, StoreFault {
            String key = "key" + step.key;
            String value = steps + "x".repeat(step.size);
            steps++;
            Batch batch = new Batch();
            switch (step.kind) {
                case PUT, PUT_BUFFERED -> StoreHarness.put(batch, "t", key, value);
                case PUT_WITH_EXPIRY -> batch.put("t", StoreHarness.bytes(key), StoreHarness.bytes(value), harness.now + 10);
                case REMOVE -> batch.remove("t", StoreHarness.bytes(key));
                case PUT_AND_REMOVE -> StoreHarness.put(batch, "t", key, value).remove("t", StoreHarness.bytes("key0"));
                case ADVANCE_CLOCK -> harness.now += step.size / 10;
                case MAINTENANCE -> harness.store.runMaintenance();
                case COMPACT -> harness.store.compactAll();
                case REOPEN -> harness.reopen();
                case KILL -> harness.killAndReopen();
                case POWER_CUT -> cutPower();
                default -> throw new IllegalStateException(step.kind.toString());
            }
            if (!batch.isEmpty()) {
                write(batch, step.kind == Kind.PUT_BUFFERED ? Durability.BUFFERED : Durability.SYNCED);
            }
            assertEquals(live(model).get("t/" + key), harness.get("t", key));
        }

        private void write(Batch batch, Durability durability) {
            if (durability == Durability.BUFFERED) {
                unsynced.add(new TreeMap<>(model));
            }
            assertNull(harness.write(batch, durability));
            StoreHarness.apply(batch, model);
            batch.changes().forEach(change -> expiries.put("t/" + StoreHarness.text(change.key()),
                change.expiresAt() == 0 ? Long.MAX_VALUE : change.expiresAt()));
            if (durability == Durability.SYNCED) {
                unsynced.clear();
            }
        }

        private void cutPower() throws IOException, StoreFault {
            harness.useDisks(harness.first.afterPowerCut(random), harness.second.afterPowerCut(random)).open();
            Map<String, String> found = StoreHarness.contents(harness.store);
            List<Map<String, String>> allowed = new ArrayList<>(unsynced);
            allowed.add(model);
            model = allowed.stream().filter(state -> live(state).equals(found)).reduce((earlier, later) -> later)
                .orElseThrow(() -> new AssertionError("found " + found + ", allowed " + allowed));
            unsynced.clear();
        }

        private Map<String, String> live(Map<String, String> state) {
            Map<String, String> live = new TreeMap<>(state);
            live.keySet().removeIf(key -> expiries.getOrDefault(key, Long.MAX_VALUE) <= harness.now);
            return live;
        }

        void assertSameContents() throws IOException, StoreFault {
            assertEquals(live(model), StoreHarness.contents(harness.store));
        }
    }

    @Property(tries = 300, seed = "7") void theStoreMatchesAMap(@ForAll("steps") List<Step> steps, @ForAll long seed)
        throws Exception {
        Comparison comparison = new Comparison(seed);
        for (Step step : steps) {
            comparison.run(step);
        }
        comparison.assertSameContents();
        comparison.harness.killAndReopen();
        comparison.assertSameContents();
    }

    /** Tests the index without the store, at sizes at which leaves split and merge. */
    @Property(tries = 40, seed = "11") void theIndexMatchesATreeMap(@ForAll long seed) {
        Random random = new Random(seed);
        IndexEditor editor = new IndexEditor(Index.EMPTY);
        TreeMap<String, Integer> model = new TreeMap<>();
        Index published = editor.publish();
        Map<String, Integer> publishedModel = new TreeMap<>();
        int range = 1 + random.nextInt(3_000);
        boolean growing = true;
        for (int i = 0; i < 8_000; i++) {
            growing = i % 2_000 == 0 ? random.nextBoolean() : growing;
            String key = Integer.toString(random.nextInt(range), 36);
            if (random.nextInt(4) == 0 == growing) {
                assertEquals(model.remove(key), offset(editor.remove(key.getBytes())));
            } else {
                Index.Location location = new Index.Location(1, i, 2, 3, 4);
                assertEquals(model.put(key, i), offset(editor.put(key.getBytes(), location)));
            }
            if (random.nextInt(500) == 0) {
                assertEquals(publishedModel, contents(published), "a published index is immutable");
                published = editor.publish();
                publishedModel = new TreeMap<>(model);
            }
        }
        assertEquals(model, contents(editor.publish()));
        assertEquals(model.size(), editor.size());
    }

    private static Integer offset(Index.Location location) {
        return location == null ? null : location.offset();
    }

    private static Map<String, Integer> contents(Index index) {
        Map<String, Integer> contents = new LinkedHashMap<>();
        for (Index.Entry entry : index.entriesFrom(new byte[0])) {
            Integer previous = contents.put(new String(entry.key()), entry.location().offset());
            assertNull(previous, "each key appears once");
        }
        return contents;
    }
}
