package kelphollow.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
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

/** Instances with clients of uneven worth before one node that bears less than all ask for. */
class LoadShedderTest {
    private static final double TICK = 10, LATE = 100;

    /** A node that bears so many requests a second and holds as many as it bears in 100 ms; claims reach the others late. */
    private static final class World {
        final Random random;
        final List<LoadShedder> instances = new ArrayList<>();
        final List<Map<Double, Double>> asks = new ArrayList<>();
        final Map<Integer, Map<Integer, Double>> told = new HashMap<>();
        final double bears;
        double now, toldAt, waiting;
        Map<Double, Integer> asked = new HashMap<>(), served = new HashMap<>();

        World(long seed, double bears) {
            this.random = new Random(seed);
            this.bears = bears;
        }

        /** An instance with so many requests a second, by worth. */
        void instance(Map<Double, Double> perSecond) {
            instances.add(new LoadShedder());
            asks.add(perSecond);
        }

        void run(double millis) {
            asked = new HashMap<>();
            served = new HashMap<>();
            for (double until = now + millis; now < until; now += TICK) {
                List<Runnable> come = new ArrayList<>();
                waiting = Math.max(0, waiting - bears * TICK / 1_000);
                for (int i = 0; i < instances.size(); i++) {
                    LoadShedder g = instances.get(i);
                    asks.get(i).forEach((worth, rate) -> {
                        for (int n = (int) (rate * TICK / 1_000 + random.nextDouble()); n > 0; n--) {
                            come.add(() -> {
                                asked.merge(worth, 1, Integer::sum);
                                if (g.admits(now, 0, worth, random.nextDouble())) {
                                    if (waiting++ < bears / 10) {
                                        served.merge(worth, 1, Integer::sum);
                                    } else {
                                        waiting--;
                                        g.rejected(now, 0, worth);
                                    }
                                }
                            });
                        }
                    });
                }
                Collections.shuffle(come, random);
                come.forEach(Runnable::run);
                if (now - toldAt >= LATE) {
                    toldAt = now;
                    for (int i = 0; i < instances.size(); i++) {
                        told.put(i, instances.get(i).claims(now));
                    }
                }
                Map<Integer, Double> highest = new HashMap<>();
                told.values().forEach(c -> c.forEach((shard, worth) -> highest.merge(shard, worth, Math::max)));
                instances.forEach(g -> g.step(now, highest));
            }
        }

        double part(double worth) {
            return served.getOrDefault(worth, 0) / (double) asked.getOrDefault(worth, 1);
        }
    }

    @ParameterizedTest @CsvSource({"1,2", "2,5", "3,10"}) void whatIsWorthMoreIsServedFirstWhicheverInstanceItComesTo(
        long seed, double times) {
        World world = new World(seed, 200);
        for (int i = 0; i < 2; i++) {
            world.instance(Map.of(3.0, 50.0));
        }
        for (int i = 0; i < 4; i++) {
            world.instance(Map.of(1.0, (200 * times - 100) / 4));
        }
        world.run(10_000);
        world.run(20_000);
        assertTrue(world.part(3) > 0.85, "seed " + seed + ": of the worthy " + world.part(3) + " served");
        double all = world.served.values().stream().mapToInt(n -> n).sum() / 20.0;
        assertTrue(all > 0.8 * 200, "seed " + seed + ": the node is used, " + all + " a second, worthy " + world.part(3));
    }

    /** A second of so many requests worth 1 at the shard, under these claims; how many of them are admitted. */
    private static int admitted(LoadShedder g, double from, int shard, int perSecond, Map<Integer, Double> claims) {
        int admitted = 0;
        for (int i = 0; i < perSecond; i++) {
            double now = from + i * 1_000.0 / perSecond;
            admitted += g.admits(now, shard, 1, i % 100 / 100.0) ? 1 : 0;
            g.step(now, claims);
        }
        return admitted;
    }

    @Test void aCutIsARateSoThatNothingIsHeldBackOnceLessIsAskedFor() {
        LoadShedder g = new LoadShedder();
        int through = 500;
        for (double now = 0; now < 6_000; now += 1_000) {
            through = admitted(g, now, 7, 500, Map.of(7, 3.0));
        }
        assertTrue(through > 0 && through < 150, through + " of 500");
        assertTrue(g.admits(6_000, 8, 1, 0.99), "other shards are as they were");
        assertTrue(g.admits(6_000, 7, 3, 0.99) && g.admits(6_000, 7, 2.8, 0.99), "nor what is worth as much, or nearly");
        admitted(g, 6_000, 7, 2_000, Map.of());
        int four = admitted(g, 7_000, 7, 2_000, Map.of());
        assertTrue(four < 500, "four times as many, and not four times as many get through: " + four);
        admitted(g, 8_000, 7, 50, Map.of());
        assertEquals(50, admitted(g, 9_000, 7, 50, Map.of()), "a tenth as many, and all do");
        double now = 10_000;
        while (!g.cuts().isEmpty()) {
            g.step(now += LoadShedder.STEP, Map.of());
            assertTrue(now < 25_000, "without news it ends");
        }
    }

    @Test void aChanceRefusalIsNoClaim() {
        LoadShedder g = new LoadShedder();
        for (int i = 0; i < 100; i++) {
            g.admits(i, 0, 3, 0);
        }
        g.rejected(100, 0, 3);
        assertEquals(Map.of(), g.claims(100), "one");
        for (int i = 0; i < 4; i++) {
            g.rejected(100, 0, 3);
        }
        assertEquals(Map.of(0, 3.0), g.claims(100), "a twentieth");
        assertEquals(Map.of(), g.claims(3_000), "it is forgotten");
    }

    /** Whatever claims come, a part is never below 0 nor above 1, and what is worth most is never held back. */
    @Property(tries = 200) void noClaimsShedAll(@ForAll long seed, @ForAll @IntRange(min = 1, max = 50) int steps) {
        Random random = new Random(seed);
        LoadShedder g = new LoadShedder();
        double now = 0;
        for (int i = 0; i < steps; i++) {
            now += random.nextInt(600);
            Map<Integer, Double> claims = new HashMap<>();
            for (int shard = 0; shard < 3; shard++) {
                if (random.nextBoolean()) claims.put(shard, 1.0 + random.nextInt(3));
            }
            g.step(now, claims);
            g.cuts().values().forEach(c -> assertTrue(c.part() >= LoadShedder.SMALLEST && c.part() < 1));
            assertTrue(g.admits(now, random.nextInt(3), 3, 1));
        }
    }
}
