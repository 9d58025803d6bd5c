package kelphollow.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.protocol.peer.Packet;
import org.junit.jupiter.api.Test;

/**
 * Dissemination in a fleet of 120 on one clock by seed: its cost, its delay, and what faults do to both. Larger ones are played
 * by {@code DisseminationFigures} and {@code FaultFigures} outside CI.
 */
class DisseminationSimulationTest {
    private static final int SIZE = Integer.getInteger("kelphollow.dissemination.size", 120);
    // Faults whose outcome does not hang on the size are played with fewer, for the time of CI.
    private static final int SMALL = 60, SMALLEST = 24;
    private static final double BUDGET = 12_000, SETTLED = 12_000;

    private static DisseminationWorld settled(long seed) {
        return settled(seed, SIZE);
    }

    private static DisseminationWorld settled(long seed, int size) {
        DisseminationWorld world = new DisseminationWorld(seed, DisseminationWorld.Setup.of(size, false));
        world.fleet();
        world.run(SETTLED);
        return world;
    }

    private static double mean(DisseminationWorld world, double since) {
        return java.util.Arrays.stream(world.totals(since)).average().orElse(0);
    }

    /** What must hold of a fleet at rest; the planted faults below must not pass it. */
    private static void assertWhole(DisseminationWorld world) {
        assertEquals(1.0, world.fresh(), 0, "parts seen fresh, seed " + world.seed);
        double[] delays = world.drainDelays(null);
        assertTrue(delays.length == 0 || delays[delays.length - 1] < Double.POSITIVE_INFINITY,
            "a drain was not kept by all, seed " + world.seed);
    }

    @Test void changesReachAllInTimeWithinTheBudget() {
        long seed = 1;
        DisseminationWorld world = settled(seed);
        world.clearCounters();
        for (int i = 0; i < 10; i++) {
            world.drain(DisseminationWorld.name(7 * i), "n" + i);
            world.run(world.now + 500);
        }
        world.run(world.now + 3_000);
        assertWhole(world);
        assertTrue(DisseminationWorld.percentile(world.drainDelays(true), 0.99) <= 250, "in the region, seed " + seed);
        assertTrue(DisseminationWorld.percentile(world.drainDelays(false), 0.99) <= 1_000, "across regions, seed " + seed);
        assertTrue(mean(world, SETTLED) <= BUDGET / 2, "bytes " + mean(world, SETTLED) + ", seed " + seed);
    }

    @Test void lossOfATwentiethDelaysDrainsByLessThanTwoSeconds() {
        DisseminationWorld world = settled(3, SMALL);
        world.loss = 0.05;
        for (int i = 0; i < 10; i++) {
            world.drain(DisseminationWorld.name(5 * i), "n" + i);
            world.run(world.now + 500);
        }
        world.run(world.now + 5_000);
        assertWhole(world);
        assertTrue(DisseminationWorld.percentile(world.drainDelays(null), 0.99) <= 2_000, "seed 3");
    }

    @Test void aZoneThatIsLostLeavesTheOthersWholeAndItsWordsFade() {
        DisseminationWorld world = settled(4, SMALL);
        List<String> gone = List.copyOf(world.lives.keySet()).stream().filter(n -> DisseminationWorld.zone(n) == 1).toList();
        gone.forEach(world::kill);
        double lost = world.now;
        world.run(lost + 2_000);
        world.drain(DisseminationWorld.name(0), "n");
        world.run(lost + 4_000);
        assertTrue(DisseminationWorld.percentile(world.drainDelays(null), 0.99) <= 1_000,
            "a drain amid a zone's loss, seed 4");
        world.clearCounters();
        world.run(lost + 40_000);
        assertWhole(world);
        assertEquals(world.lives.size(), world.rightViews(), "seed 4");
        for (Player viewer : world.lives.values()) {
            gone.forEach(name -> assertNull(viewer.part(name), "the word of " + name + " still counts, seed 4"));
        }
        assertTrue(mean(world, lost + 2_000) <= BUDGET, "bytes " + mean(world, lost + 2_000));
    }

    @Test void eachSideOfACutGoesOnAndHealingIsCheapAndNoOldWordWins() {
        DisseminationWorld world = settled(5, SMALL);
        world.drain(DisseminationWorld.name(1), "before");
        world.run(world.now + 2_000);
        world.passes = (from, to) -> DisseminationWorld.region(from) == DisseminationWorld.region(to);
        world.run(world.now + 30_000);
        world.lives.get(DisseminationWorld.name(1)).unsay("drain", "before");
        DisseminationWorld.Drain own = world.drain(DisseminationWorld.name(2), "cut");
        world.run(world.now + 3_000);
        world.lives.keySet().stream().filter(name -> !name.equals(own.teller)).forEach(name -> assertEquals(
            DisseminationWorld.region(name) == DisseminationWorld.region(own.teller), own.keptAt.containsKey(name), name
                + ", seed 5"));
        world.passes = (from, to) -> true;
        double healed = world.now;
        world.clearCounters();
        world.run(healed + 10_000);
        assertTrue(mean(world, healed) <= 2 * BUDGET, "healing cost " + mean(world, healed) + ", seed 5");
        double after = world.now;
        world.clearCounters();
        world.run(after + 10_000);
        assertTrue(mean(world, after) <= BUDGET, "after healing " + mean(world, after) + ", seed 5");
        assertWhole(world);
        assertEquals(world.lives.size(), world.rightViews(), "seed 5");
        for (Player viewer : world.lives.values()) {
            assertFalse(viewer.part(DisseminationWorld.name(1)).subjects().containsKey("drain"),
                "taken back in the cut, seed 5");
        }
    }

    @Test void instancesOfTheVersionBeforeAreHeardAndHear() {
        DisseminationWorld world = new DisseminationWorld(6, DisseminationWorld.Setup.of(SMALLEST, false));
        for (int i = 0; i < SMALLEST; i++) {
            world.start(DisseminationWorld.name(i), i % 2 == 0);
        }
        world.run(30_000);
        world.drain(DisseminationWorld.name(4), "by the version before");
        world.drain(DisseminationWorld.name(5), "by this one");
        world.run(world.now + 10_000);
        assertWhole(world);
    }

    @Test void restartsGoOnUnderANewLifeAndTheOldLifesWordsGo() {
        DisseminationWorld world = settled(7, SMALLEST);
        world.drain(DisseminationWorld.name(9), "of the first life");
        world.run(world.now + 2_000);
        world.kill(DisseminationWorld.name(9));
        world.start(DisseminationWorld.name(9), false);
        world.run(world.now + 15_000);
        assertEquals(1.0, world.fresh(), 0, "seed 7");
        for (Player viewer : world.lives.values()) {
            assertEquals(2, viewer.part(DisseminationWorld.name(9)).epoch(), "seed 7");
            assertFalse(viewer.part(DisseminationWorld.name(9)).subjects().containsKey("drain"), "seed 7");
        }
    }

    // ---------------------------------------------------------------- planted faults, which the checks must find

    @Test void relaysThatDropWhatTheyShouldPassOnAreFound() {
        DisseminationWorld world = settled(8, SMALL);
        world.swallows = (from, packet) -> packet instanceof Packet.Compare
            || packet instanceof Packet.Small small && small.parts().stream().anyMatch(p -> !p.instance().equals(from));
        world.drain(DisseminationWorld.name(3), "n");
        world.run(world.now + 5_000);
        assertThrows(AssertionError.class, () -> assertWhole(world));
    }

    @Test void aPartThatNeverRenewsIsFound() {
        DisseminationWorld world = new DisseminationWorld(9, DisseminationWorld.Setup.of(SMALLEST, false));
        world.fleet();
        world.run(SETTLED);
        assertWhole(world);
        ((Player.Now) world.lives.get(DisseminationWorld.name(3))).stopRenewing();
        world.run(world.now + 12_000);
        assertThrows(AssertionError.class, () -> assertWhole(world));
    }
}
