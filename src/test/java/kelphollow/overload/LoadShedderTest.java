package kelphollow.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Instances whose clients have different priority weights, in front of one node whose capacity is below their demand. */
class LoadShedderTest {
    private static final double TICK_MS = 10;
    private static final double REPORT_INTERVAL_MS = 100;

    /** A node that serves {@code capacity} requests a second and queues as many as it serves in 100 ms. Reports are late. */
    private static final class World {
        final Random random;
        final List<LoadShedder> instances = new ArrayList<>();
        final List<Map<Double, Double>> demands = new ArrayList<>();
        final Map<Integer, Map<Integer, Double>> reports = new HashMap<>();
        final double capacity;
        double now;
        double reportedAt;
        double queued;
        Map<Double, Integer> arrived = new HashMap<>();
        Map<Double, Integer> served = new HashMap<>();

        World(long seed, double capacity) {
            this.random = new Random(seed);
            this.capacity = capacity;
        }

        /** Adds an instance that receives {@code perSecond} requests per second, by priority weight. */
        void addInstance(Map<Double, Double> perSecond) {
            instances.add(new LoadShedder());
            demands.add(perSecond);
        }

        void run(double millis) {
            arrived = new HashMap<>();
            served = new HashMap<>();
            for (double until = now + millis; now < until; now += TICK_MS) {
                List<Runnable> arrivals = new ArrayList<>();
                queued = Math.max(0, queued - capacity * TICK_MS / 1_000);
                for (int i = 0; i < instances.size(); i++) {
                    LoadShedder shedder = instances.get(i);
                    demands.get(i).forEach((weight, rate) -> {
                        for (int n = (int) (rate * TICK_MS / 1_000 + random.nextDouble()); n > 0; n--) {
                            arrivals.add(() -> {
                                arrived.merge(weight, 1, Integer::sum);
                                if (shedder.admits(now, 0, weight, random.nextDouble())) {
                                    if (queued++ < capacity / 10) {
                                        served.merge(weight, 1, Integer::sum);
                                    } else {
                                        queued--;
                                        shedder.rejected(now, 0, weight);
                                    }
                                }
                            });
                        }
                    });
                }
                Collections.shuffle(arrivals, random);
                arrivals.forEach(Runnable::run);
                if (now - reportedAt >= REPORT_INTERVAL_MS) {
                    reportedAt = now;
                    for (int i = 0; i < instances.size(); i++) {
                        reports.put(i, instances.get(i).overloadReports(now));
                    }
                }
                Map<Integer, Double> highest = new HashMap<>();
                reports.values().forEach(r -> r.forEach((shard, weight) -> highest.merge(shard, weight, Math::max)));
                instances.forEach(shedder -> shedder.adjust(now, highest));
            }
        }

        double servedFraction(double weight) {
            return served.getOrDefault(weight, 0) / (double) arrived.getOrDefault(weight, 1);
        }
    }

    @ParameterizedTest @CsvSource({"1,2", "2,5", "3,10"}) void higherWeightsAreServedFirstWhicheverInstanceTheyArriveAt(
        long seed, double overloadFactor) {
        World world = new World(seed, 200);
        for (int i = 0; i < 2; i++) {
            world.addInstance(Map.of(3.0, 50.0));
        }
        for (int i = 0; i < 4; i++) {
            world.addInstance(Map.of(1.0, (200 * overloadFactor - 100) / 4));
        }
        world.run(10_000);
        world.run(20_000);
        assertTrue(world.servedFraction(3) > 0.85, "seed " + seed + ": served fraction of the high weight " + world
            .servedFraction(3));
        double all = world.served.values().stream().mapToInt(n -> n).sum() / 20.0;
        assertTrue(all > 0.8 * 200, "seed " + seed + ": " + all + " a second served, high weight " + world.servedFraction(
            3));
    }

    /** Sends {@code perSecond} requests of weight 1 in one second under these reports; returns how many are admitted. */
    private static int admitted(LoadShedder shedder, double from, int shard, int perSecond, Map<Integer, Double> reports) {
        int admitted = 0;
        for (int i = 0; i < perSecond; i++) {
            double now = from + i * 1_000.0 / perSecond;
            admitted += shedder.admits(now, shard, 1, i % 100 / 100.0) ? 1 : 0;
            shedder.adjust(now, reports);
        }
        return admitted;
    }

    @Test void aThresholdIsARateSoThatNothingIsShedOnceDemandFalls() {
        LoadShedder shedder = new LoadShedder();
        int admitted = 500;
        for (double now = 0; now < 6_000; now += 1_000) {
            admitted = admitted(shedder, now, 7, 500, Map.of(7, 3.0));
        }
        assertTrue(admitted > 0 && admitted < 150, "admitted of 500: " + admitted);
        assertTrue(shedder.admits(6_000, 8, 1, 0.99), "shed at a shard without a report");
        assertTrue(shedder.admits(6_000, 7, 3, 0.99) && shedder.admits(6_000, 7, 2.8, 0.99),
            "shed a weight equal or close to the reported one");
        admitted(shedder, 6_000, 7, 2_000, Map.of());
        int four = admitted(shedder, 7_000, 7, 2_000, Map.of());
        assertTrue(four < 500, "admitted of 2,000 after the demand rose fourfold: " + four);
        admitted(shedder, 8_000, 7, 50, Map.of());
        assertEquals(50, admitted(shedder, 9_000, 7, 50, Map.of()), "admitted of 50 after the demand fell to a tenth");
        double now = 10_000;
        while (!shedder.thresholds().isEmpty()) {
            shedder.adjust(now += LoadShedder.ADJUSTMENT_INTERVAL_MS, Map.of());
            assertTrue(now < 25_000, "a threshold remains 19 s after the last report");
        }
    }

    @Test void aSingleRejectionIsNotReported() {
        LoadShedder shedder = new LoadShedder();
        for (int i = 0; i < 100; i++) {
            shedder.admits(i, 0, 3, 0);
        }
        shedder.rejected(100, 0, 3);
        assertEquals(Map.of(), shedder.overloadReports(100), "a single rejection");
        for (int i = 0; i < 4; i++) {
            shedder.rejected(100, 0, 3);
        }
        assertEquals(Map.of(0, 3.0), shedder.overloadReports(100), "5% of the requests rejected");
        assertEquals(Map.of(), shedder.overloadReports(3_000), "the rejections have left the window");
    }

    /** For any reports, the fraction stays between its minimum and 1, and the highest weight is never shed. */
    @Property(tries = 200) void noReportsShedTheHighestWeight(@ForAll long seed,
        @ForAll @IntRange(min = 1, max = 50) int steps) {
        Random random = new Random(seed);
        LoadShedder shedder = new LoadShedder();
        double now = 0;
        for (int i = 0; i < steps; i++) {
            now += random.nextInt(600);
            Map<Integer, Double> reports = new HashMap<>();
            for (int shard = 0; shard < 3; shard++) {
                if (random.nextBoolean()) {
                    reports.put(shard, 1.0 + random.nextInt(3));
                }
            }
            shedder.adjust(now, reports);
            shedder.thresholds().values().forEach(
                t -> assertTrue(t.fraction() >= LoadShedder.MIN_FRACTION && t.fraction() < 1));
            assertTrue(shedder.admits(now, random.nextInt(3), 3, 1));
        }
    }

    @Test void aReportOfAHigherWeightTakesEffectBeforeTheThresholdHasSettled() {
        LoadShedder shedder = new LoadShedder();
        double highestHash = 0.999;
        for (int i = 0; i < 100; i++) {
            shedder.admits(i, 0, 1, highestHash);
            shedder.admits(i, 0, 2, highestHash);
        }

        shedder.adjust(200, Map.of(0, 2.0));
        assertTrue(shedder.admits(201, 0, 2, highestHash), "the reported weight is shed");
        shedder.adjust(200 + LoadShedder.ADJUSTMENT_INTERVAL_MS, Map.of(0, 3.0));

        assertEquals(3.0, shedder.thresholds().get(0).weight());
        assertFalse(shedder.admits(402, 0, 2, highestHash), "a weight below the newly reported one is not shed");
    }
}
