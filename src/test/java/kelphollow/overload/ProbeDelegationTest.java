package kelphollow.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Trials of a silent node by a whole fleet, with news that is late, lost or wrong. */
class ProbeDelegationTest {
    private static final double STEP = 50, TRICKLE = 1_000, PATIENCE = 3_000, NOTICED = 2_000;

    /** Instances that each hear of the others' figures now and then; those without traffic never try. */
    private static final class World {
        final Random random;
        final int size;
        final double heard;
        final Map<String, ProbeDelegation> probing = new HashMap<>();
        final Map<String, Double> tries = new HashMap<>(), nextAt = new HashMap<>();
        final Map<String, Map<String, Double>> views = new HashMap<>();
        final Set<String> idle = new HashSet<>(), stopped = new HashSet<>(), absent = new HashSet<>();
        final List<Double> trials = new ArrayList<>();
        boolean up;
        double now;

        World(long seed, int size, double heard) {
            this.random = new Random(seed);
            this.size = size;
            this.heard = heard;
            for (int i = 0; i < size; i++) {
                probing.put("i" + i, new ProbeDelegation("i" + i, PATIENCE));
                tries.put("i" + i, 0.0);
                views.put("i" + i, new HashMap<>());
            }
        }

        void run(double until) {
            for (; now < until; now += STEP) {
                for (String i : probing.keySet()) {
                    if (!stopped.contains(i)) step(i);
                }
            }
        }

        private void step(String i) {
            Map<String, Double> view = views.get(i);
            for (String j : probing.keySet()) {
                if (!j.equals(i) && !stopped.contains(j) && random.nextDouble() < heard) {
                    if (tries.containsKey(j)) view.put(j, tries.get(j));
                    else
                        view.remove(j);
                }
            }
            Map<String, Map<String, Double>> said = new HashMap<>();
            view.forEach((j, figure) -> said.put(j, Map.of("n", figure)));
            if (tries.containsKey(i)) said.put(i, Map.of("n", tries.get(i)));
            List<String> present = probing.keySet().stream().filter(j -> !j.equals(i) && !absent.contains(j)).toList();
            boolean rests = probing.get(i).rested(now, present, said).contains("n");
            if (!rests && !idle.contains(i) && tries.containsKey(i) && now >= nextAt.getOrDefault(i, 0.0)) {
                trials.add(now);
                nextAt.put(i, now + TRICKLE);
                tries.merge(i, 1.0, Double::sum);
                if (up) tries.remove(i);
            }
        }

        long trials(double from, double to) {
            return trials.stream().filter(t -> t >= from && t < to).count();
        }
    }

    @ParameterizedTest @CsvSource({"1,3,0.7", "2,6,0.7", "3,12,0.7", "4,50,0.7", "5,12,0.2",
        "6,50,0.2"}) void theRateOfTrialsDoesNotGrowWithTheFleet(
            long seed, int size, double heard) {
        World world = new World(seed, size, heard);
        world.run(40_000);
        for (double from = 10_000; from < 35_000; from += STEP) {
            long trials = world.trials(from, from + 5_000);
            assertTrue(trials >= 4 && trials <= 6, "seed " + seed + ": " + trials + " trials in 5 s from " + from);
        }
    }

    @ParameterizedTest @CsvSource({"1,6", "2,12", "3,12", "4,50"}) void whoeverHasNoRequestsStopsOrIsCutOffGivesWayToTheNext(
        long seed, int size) {
        World world = new World(seed, size, 0.7);
        for (int i = 0; i < size / 2; i++) {
            world.idle.add("i" + i);
        }
        world.run(10_000);
        for (int i = size / 2; i < size - 1; i++) {   // the others stop one by one, and are found so later
            world.stopped.add("i" + i);
            double from = world.now;
            world.run(from + NOTICED);
            world.absent.add("i" + i);
            world.run(from + NOTICED + PATIENCE + 3 * TRICKLE);
            assertTrue(world.trials(from, world.now) > 0, "seed " + seed + ": nobody tries after " + i + " stopped");
        }
        assertTrue(world.trials(world.now - 5_000, world.now) <= 6, "and still one at a time");
    }

    @ParameterizedTest @CsvSource({"1,6", "2,50"}) void onceTheNodeAnswersAllAreBackWithinThePatience(long seed, int size) {
        World world = new World(seed, size, 0.7);
        world.run(10_000);
        world.up = true;
        world.run(10_000 + PATIENCE + 2 * TRICKLE);
        assertEquals(Map.of(), world.tries, "seed " + seed);
    }

    /** Whatever each sees of the others, right or wrong, somebody that found the node silent tries it. */
    @Property void noViewsLeaveANodeToNobody(@ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int size) {
        Random random = new Random(seed);
        int resting = 0;
        for (int i = 0; i < size; i++) {
            Map<String, Map<String, Double>> said = new HashMap<>();
            List<String> present = new ArrayList<>();
            for (int j = 0; j < size; j++) {
                if (j == i || random.nextBoolean()) said.put("i" + j, Map.of("n", (double) random.nextInt(3)));
                if (j != i && random.nextInt(3) > 0) present.add("i" + j);
            }
            ProbeDelegation probing = new ProbeDelegation("i" + i, PATIENCE);
            probing.rested(0, present, said);
            resting += probing.rested(random.nextInt(5_000), present, said).contains("n") ? 1 : 0;
        }
        assertTrue(resting < size, size + " instances all rest");
    }

    @ParameterizedTest @CsvSource({"0,false", "1,false", "2,true"}) void oneThatDidNotMeetTheNodeRestsOnTheWordOfTwo(
        int others, boolean rests) {
        Map<String, Map<String, Double>> said = new HashMap<>();
        List<String> present = new ArrayList<>();
        for (int i = 1; i <= others; i++) {
            said.put("i" + i, Map.of("n", 0.0));
            present.add("i" + i);
        }
        ProbeDelegation probing = new ProbeDelegation("i0", PATIENCE);
        assertEquals(rests, probing.rested(0, present, said).contains("n"));
        assertFalse(probing.rested(PATIENCE, present, said).contains("n"), "nobody shows that it tries any more");
        assertEquals(Set.of(), probing.rested(0, List.of(), said), "nor does whoever is not there");
    }
}
