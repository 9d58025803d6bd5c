package kelphollow.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import kelphollow.digest.Subject;
import kelphollow.protocol.peer.Packet;
import org.junit.jupiter.api.Test;

/**
 * Cost and delay of dissemination in a simulated fleet of 120 instances, with and without faults. {@code
 * DisseminationFigures} and {@code FaultFigures} simulate larger fleets outside CI.
 */
class DisseminationSimulationTest {
    private static final int SIZE = Integer.getInteger("kelphollow.dissemination.size", 120);
    // Faults whose outcome does not depend on the size are simulated with fewer instances, to save time in CI.
    private static final int SMALL_SIZE = 60;
    private static final int SMALLEST_SIZE = 24;
    private static final double BUDGET_BYTES_PER_SECOND = 12_000;
    private static final double SETTLED_AT_MS = 12_000;

    private static DisseminationWorld settled(long seed) {
        return settled(seed, SIZE);
    }

    private static DisseminationWorld settled(long seed, int size) {
        DisseminationWorld world = new DisseminationWorld(seed, DisseminationWorld.Setup.of(size, false));
        world.startFleet();
        world.run(SETTLED_AT_MS);
        return world;
    }

    private static double mean(DisseminationWorld world, double since) {
        return Arrays.stream(world.totals(since)).average().orElse(0);
    }

    /** Asserts what must hold in a settled fleet; the planted faults below must fail it. */
    private static void assertComplete(DisseminationWorld world) {
        assertEquals(1.0, world.freshFraction(), 0, "fresh states, seed " + world.seed);
        double[] delays = world.drainDelays(null);
        assertTrue(delays.length == 0 || delays[delays.length - 1] < Double.POSITIVE_INFINITY,
            "a drain did not reach all instances, seed " + world.seed);
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
        assertComplete(world);
        assertTrue(DisseminationWorld.percentile(world.drainDelays(true), 0.99) <= 250,
            "99th percentile of drain delays in the region, seed " + seed);
        assertTrue(DisseminationWorld.percentile(world.drainDelays(false), 0.99) <= 1_000,
            "99th percentile of drain delays across regions, seed " + seed);
        assertTrue(mean(world, SETTLED_AT_MS) <= BUDGET_BYTES_PER_SECOND / 2, "bytes per second " + mean(world,
            SETTLED_AT_MS) + ", seed " + seed);
    }

    @Test void lossOfATwentiethDelaysDrainsByLessThanTwoSeconds() {
        DisseminationWorld world = settled(3, SMALL_SIZE);
        world.loss = 0.05;
        for (int i = 0; i < 10; i++) {
            world.drain(DisseminationWorld.name(5 * i), "n" + i);
            world.run(world.now + 500);
        }
        world.run(world.now + 5_000);
        assertComplete(world);
        assertTrue(DisseminationWorld.percentile(world.drainDelays(null), 0.99) <= 2_000, "seed 3");
    }

    @Test void theLossOfAZoneLeavesTheOthersConsistentAndItsStatesExpire() {
        DisseminationWorld world = settled(4, SMALL_SIZE);
        List<String> gone = List.copyOf(world.running.keySet()).stream().filter(n -> DisseminationWorld.zone(n) == 1)
            .toList();
        gone.forEach(world::kill);
        double lost = world.now;
        world.run(lost + 2_000);
        world.drain(DisseminationWorld.name(0), "n");
        world.run(lost + 4_000);
        assertTrue(DisseminationWorld.percentile(world.drainDelays(null), 0.99) <= 1_000,
            "99th percentile of drain delays during a zone's loss, seed 4");
        world.clearCounters();
        world.run(lost + 40_000);
        assertComplete(world);
        assertEquals(world.running.size(), world.correctViews(), "seed 4");
        for (SimulatedPeer viewer : world.running.values()) {
            gone.forEach(name -> assertNull(viewer.state(name), "the state of " + name + " has not expired, seed 4"));
        }
        assertTrue(mean(world, lost + 2_000) <= BUDGET_BYTES_PER_SECOND, "bytes per second " + mean(world, lost + 2_000));
    }

    @Test void eachSideOfAPartitionContinuesAndHealingIsCheapAndNoOlderStateWins() {
        DisseminationWorld world = settled(5, SMALL_SIZE);
        world.drain(DisseminationWorld.name(1), "before");
        world.run(world.now + 2_000);
        world.connected = (from, to) -> DisseminationWorld.region(from) == DisseminationWorld.region(to);
        world.run(world.now + 30_000);
        world.running.get(DisseminationWorld.name(1)).withdraw(Subject.DRAIN, "before");
        DisseminationWorld.Drain own = world.drain(DisseminationWorld.name(2), "cut");
        world.run(world.now + 3_000);
        world.running.keySet().stream().filter(name -> !name.equals(own.reporter)).forEach(name -> assertEquals(
            DisseminationWorld.region(name) == DisseminationWorld.region(own.reporter), own.receivedAt.containsKey(name),
            name + ", seed 5"));
        world.connected = (from, to) -> true;
        double healed = world.now;
        world.clearCounters();
        world.run(healed + 10_000);
        assertTrue(mean(world, healed) <= 2 * BUDGET_BYTES_PER_SECOND, "bytes per second during healing " + mean(world,
            healed) + ", seed 5");
        double after = world.now;
        world.clearCounters();
        world.run(after + 10_000);
        assertTrue(mean(world, after) <= BUDGET_BYTES_PER_SECOND, "bytes per second after healing " + mean(world, after)
            + ", seed 5");
        assertComplete(world);
        assertEquals(world.running.size(), world.correctViews(), "seed 5");
        for (SimulatedPeer viewer : world.running.values()) {
            assertFalse(viewer.state(DisseminationWorld.name(1)).subjects().containsKey(Subject.DRAIN.wireName()),
                "a drain withdrawn during the partition is back, seed 5");
        }
    }

    @Test void instancesOfThePreviousVersionInteroperate() {
        DisseminationWorld world = new DisseminationWorld(6, DisseminationWorld.Setup.of(SMALLEST_SIZE, false));
        for (int i = 0; i < SMALLEST_SIZE; i++) {
            world.start(DisseminationWorld.name(i), i % 2 == 0);
        }
        world.run(30_000);
        world.drain(DisseminationWorld.name(4), "by the previous version");
        world.drain(DisseminationWorld.name(5), "by this one");
        world.run(world.now + 10_000);
        assertComplete(world);
    }

    @Test void restartsContinueUnderANewEpochAndTheOldStateExpires() {
        DisseminationWorld world = settled(7, SMALLEST_SIZE);
        world.drain(DisseminationWorld.name(9), "of the first epoch");
        world.run(world.now + 2_000);
        world.kill(DisseminationWorld.name(9));
        world.start(DisseminationWorld.name(9), false);
        world.run(world.now + 15_000);
        assertEquals(1.0, world.freshFraction(), 0, "seed 7");
        for (SimulatedPeer viewer : world.running.values()) {
            assertEquals(2, viewer.state(DisseminationWorld.name(9)).epoch(), "seed 7");
            assertFalse(viewer.state(DisseminationWorld.name(9)).subjects().containsKey(Subject.DRAIN.wireName()), "seed 7");
        }
    }

    // ---------------------------------------------------------------- planted faults that assertComplete must detect

    @Test void relaysThatDropForwardedStatesAreDetected() {
        DisseminationWorld world = settled(8, SMALL_SIZE);
        world.drops = (from, packet) -> packet instanceof Packet.Comparison
            || packet instanceof Packet.Membership membership
                && membership.states().stream().anyMatch(s -> !s.instance().equals(from));
        world.drain(DisseminationWorld.name(3), "n");
        world.run(world.now + 5_000);
        assertThrows(AssertionError.class, () -> assertComplete(world));
    }

    @Test void aStateThatIsNeverRenewedIsDetected() {
        DisseminationWorld world = new DisseminationWorld(9, DisseminationWorld.Setup.of(SMALLEST_SIZE, false));
        world.startFleet();
        world.run(SETTLED_AT_MS);
        assertComplete(world);
        ((SimulatedPeer.Current) world.running.get(DisseminationWorld.name(3))).stopRenewing();
        world.run(world.now + 12_000);
        assertThrows(AssertionError.class, () -> assertComplete(world));
    }
}
