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

/** Health checks of an unresponsive node by a fleet whose findings arrive late, are lost or are wrong. */
class ProbeDelegationTest {
    private static final double STEP_MS = 50;
    private static final double ATTEMPT_INTERVAL_MS = 1_000;
    private static final double PROGRESS_TIMEOUT_MS = 3_000;
    private static final double DETECTION_MS = 2_000;

    /** Instances that get each other's findings with probability {@code delivery} per step; idle ones never attempt. */
    private static final class World {
        final Random random;
        final int size;
        final double delivery;
        final Map<String, ProbeDelegation> instances = new HashMap<>();
        final Map<String, Double> attempts = new HashMap<>();
        final Map<String, Double> nextAt = new HashMap<>();
        final Map<String, Map<String, Double>> views = new HashMap<>();
        final Set<String> idle = new HashSet<>();
        final Set<String> stopped = new HashSet<>();
        final Set<String> absent = new HashSet<>();
        final List<Double> attemptTimes = new ArrayList<>();
        boolean nodeResponds;
        double now;

        World(long seed, int size, double delivery) {
            this.random = new Random(seed);
            this.size = size;
            this.delivery = delivery;
            for (int i = 0; i < size; i++) {
                instances.put("i" + i, new ProbeDelegation("i" + i, PROGRESS_TIMEOUT_MS));
                attempts.put("i" + i, 0.0);
                views.put("i" + i, new HashMap<>());
            }
        }

        void run(double until) {
            for (; now < until; now += STEP_MS) {
                for (String i : instances.keySet()) {
                    if (!stopped.contains(i)) {
                        step(i);
                    }
                }
            }
        }

        private void step(String i) {
            Map<String, Double> view = views.get(i);
            for (String j : instances.keySet()) {
                if (!j.equals(i) && !stopped.contains(j) && random.nextDouble() < delivery) {
                    if (attempts.containsKey(j)) {
                        view.put(j, attempts.get(j));
                    } else {
                        view.remove(j);
                    }
                }
            }
            List<AttemptReport> reports = new ArrayList<>();
            view.forEach((j, count) -> reports.add(new AttemptReport(j, "n", count)));
            if (attempts.containsKey(i)) {
                reports.add(new AttemptReport(i, "n", attempts.get(i)));
            }
            List<String> present = instances.keySet().stream().filter(j -> !j.equals(i) && !absent.contains(j)).toList();
            boolean delegates = instances.get(i).delegatedNodes(now, present, reports).contains("n");
            if (!delegates && !idle.contains(i) && attempts.containsKey(i) && now >= nextAt.getOrDefault(i, 0.0)) {
                attemptTimes.add(now);
                nextAt.put(i, now + ATTEMPT_INTERVAL_MS);
                attempts.merge(i, 1.0, Double::sum);
                if (nodeResponds) {
                    attempts.remove(i);
                }
            }
        }

        long attemptsBetween(double from, double to) {
            return attemptTimes.stream().filter(t -> t >= from && t < to).count();
        }
    }

    @ParameterizedTest @CsvSource({"1,3,0.7", "2,6,0.7", "3,12,0.7", "4,50,0.7", "5,12,0.2",
        "6,50,0.2"}) void theRateOfAttemptsDoesNotGrowWithTheFleet(
            long seed, int size, double delivery) {
        World world = new World(seed, size, delivery);
        world.run(40_000);
        for (double from = 10_000; from < 35_000; from += STEP_MS) {
            long attempts = world.attemptsBetween(from, from + 5_000);
            assertTrue(attempts >= 4 && attempts <= 6, "seed " + seed + ": " + attempts + " attempts in 5 s from " + from);
        }
    }

    @ParameterizedTest @CsvSource({"1,6", "2,12", "3,12",
        "4,50"}) void aHealthCheckerThatIsIdleOrStoppedIsReplaced(
            long seed, int size) {
        World world = new World(seed, size, 0.7);
        for (int i = 0; i < size / 2; i++) {
            world.idle.add("i" + i);
        }
        world.run(10_000);
        for (int i = size / 2; i < size - 1; i++) {   // the others stop one by one; each is absent from the membership later
            world.stopped.add("i" + i);
            double from = world.now;
            world.run(from + DETECTION_MS);
            world.absent.add("i" + i);
            world.run(from + DETECTION_MS + PROGRESS_TIMEOUT_MS + 3 * ATTEMPT_INTERVAL_MS);
            assertTrue(world.attemptsBetween(from, world.now) > 0, "seed " + seed + ": no attempts after i" + i
                + " stopped");
        }
        assertTrue(world.attemptsBetween(world.now - 5_000, world.now) <= 6,
            "attempts of the last 5 s, from a single health checker");
    }

    @ParameterizedTest @CsvSource({"1,6", "2,50"}) void allInstancesReturnOnceTheNodeResponds(long seed, int size) {
        World world = new World(seed, size, 0.7);
        world.run(10_000);
        world.nodeResponds = true;
        world.run(10_000 + PROGRESS_TIMEOUT_MS + 2 * ATTEMPT_INTERVAL_MS);
        assertEquals(Map.of(), world.attempts, "seed " + seed);
    }

    /** For any views of the others, right or wrong, an instance that found the node unresponsive attempts it. */
    @Property void noViewsLeaveANodeWithoutHealthChecker(@ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int size) {
        Random random = new Random(seed);
        int delegating = 0;
        for (int i = 0; i < size; i++) {
            List<AttemptReport> reports = new ArrayList<>();
            List<String> present = new ArrayList<>();
            for (int j = 0; j < size; j++) {
                if (j == i || random.nextBoolean()) {
                    reports.add(new AttemptReport("i" + j, "n", random.nextInt(3)));
                }
                if (j != i && random.nextInt(3) > 0) {
                    present.add("i" + j);
                }
            }
            ProbeDelegation delegation = new ProbeDelegation("i" + i, PROGRESS_TIMEOUT_MS);
            delegation.delegatedNodes(0, present, reports);
            delegating += delegation.delegatedNodes(random.nextInt(5_000), present, reports).contains("n") ? 1 : 0;
        }
        assertTrue(delegating < size, size + " instances all delegate");
    }

    @ParameterizedTest @CsvSource({"0,false", "1,false",
        "2,true"}) void anInstanceWithoutOwnAttemptsDelegatesOnTwoFindings(
            int others, boolean delegates) {
        List<AttemptReport> reports = new ArrayList<>();
        List<String> present = new ArrayList<>();
        for (int i = 1; i <= others; i++) {
            reports.add(new AttemptReport("i" + i, "n", 0));
            present.add("i" + i);
        }
        ProbeDelegation delegation = new ProbeDelegation("i0", PROGRESS_TIMEOUT_MS);
        assertEquals(delegates, delegation.delegatedNodes(0, present, reports).contains("n"));
        assertFalse(delegation.delegatedNodes(PROGRESS_TIMEOUT_MS, present, reports).contains("n"),
            "delegates although no attempt count changes any more");
        assertEquals(Set.of(), delegation.delegatedNodes(0, List.of(), reports), "delegates to an absent instance");
    }
}
