package kelphollow.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Two gateways, a link that breaks, a node that counts, and a store that survives: by seeds, in any order of events.
 * No client's request runs twice; what its client was told holds for good; each has one final answer.
 */
class HandoverSimulationTest {
    private static final int SEEDS = Integer.getInteger("kelphollow.handover.seeds", 3_000);
    private static final int STEPS = 400;

    private record Frame(String what, Identity identity, Told told) {}

    /** One client's request: its identities so far, how often it ran, and what its client heard. */
    private static final class Work {
        final List<Identity> sent = new ArrayList<>();
        Handover now;
        int runs;
        Handover.Next heard;
    }

    private static final class World {
        final Random random;
        final String what;
        final Map<Identity, Work> owner = new HashMap<>();
        final List<Work> all = new ArrayList<>(), open = new ArrayList<>();
        final ArrayDeque<Frame> toFar = new ArrayDeque<>(), toNear = new ArrayDeque<>(), stale = new ArrayDeque<>();
        /** The far store: synced intents with null, outcomes with their bytes. */
        final Map<Identity, byte[]> records = new TreeMap<>();
        boolean storeLost, up = true;
        long nearEpoch = 1, number;
        double now;
        Seen seen = new Seen(6, 1e9, true);
        /** The far side's work: intents that are not safe yet, attempts at the node, those that ran and are not recorded. */
        final List<Identity> recording = new ArrayList<>(), attempts = new ArrayList<>(), ran = new ArrayList<>();
        /** What was given to the node by far gateways that died: it may still run. */
        final List<Identity> orphans = new ArrayList<>();
        int resent, proved;

        World(long seed) {
            random = new Random(seed);
            what = "seed " + seed;
            seen.met("a", nearEpoch, 0);
        }

        void step() {
            now += random.nextInt(5);
            switch (random.nextInt(16)) {
                case 0, 1, 2 -> arrive();
                case 3, 4, 5 -> farReceives();
                case 6, 7 -> nearReceives();
                case 8, 9 -> intentIsSafe();
                case 10 -> nodeRuns();
                case 11 -> outcome();
                case 12 -> breakLink();
                case 13 -> connect();
                case 14 -> giveUp();
                default -> rare();
            }
        }

        private void arrive() {
            Work work = new Work();
            all.add(work);
            open.add(work);
            send(work);
        }

        private void send(Work work) {
            Identity identity = new Identity("a", nearEpoch, number++);
            work.sent.add(identity);
            owner.put(identity, work);
            work.now = new Handover(identity);
            work.now.begin();
            if (!up) {
                end(work, work.now.broken());
                return;
            }
            assertEquals(Handover.Next.SEND, work.now.intentSafe());
            if (random.nextInt(8) == 0) {
                return;                                     // its body is never whole on this link
            }
            work.now.writtenWhole();
            toFar.add(new Frame("claim", identity, null));
            if (random.nextInt(10) == 0) {
                toFar.add(new Frame("claim", identity, null));
            }
        }

        /** What an ending means to the client. A request that never ran may be sent again. */
        private void end(Work work, Handover.Next next) {
            if (!work.now.isOver()) {
                return;
            }
            if (next == Handover.Next.NEVER_RAN && work.sent.size() < 3 && up && random.nextBoolean()) {
                resent++;
                send(work);
                return;
            }
            assertNull(work.heard, what + ": one final answer");
            work.heard = next;
            open.remove(work);
            if (next == Handover.Next.RAN) {
                assertEquals(1, work.runs, what);
                assertEquals(work.now.identity().toString(), new String(work.now.outcome()), what);
            }
        }

        private void farReceives() {
            Frame frame = !stale.isEmpty() && random.nextInt(4) == 0 ? stale.poll() : toFar.poll();
            if (frame == null) {
                return;
            }
            if (frame.what.equals("ask")) {
                toNear.add(new Frame("told", frame.identity, seen.ask(frame.identity, now)));
                return;
            }
            switch (seen.claim(frame.identity, now)) {
                case RUN -> recording.add(frame.identity);
                case FULL -> toNear.add(new Frame("told", frame.identity, Told.NEVER));
                case BUSY -> {}
                default -> toNear.add(new Frame("told", frame.identity, seen.ask(frame.identity, now)));
            }
        }

        private void nearReceives() {
            Frame frame = toNear.poll();
            if (frame == null) {
                return;
            }
            Work work = owner.get(frame.identity);
            if (work.now.identity().equals(frame.identity) && open.contains(work)) {
                proved += work.now.isLost() && frame.told.kind() != Told.Kind.UNKNOWN ? 1 : 0;
                end(work, work.now.answered(frame.told));
            }
        }

        private <T> T draw(List<T> from) {
            return from.isEmpty() ? null : from.remove(random.nextInt(from.size()));
        }

        private void intentIsSafe() {
            Identity identity = draw(recording);
            if (identity != null) {
                records.put(identity, null);
                attempts.add(identity);
            }
        }

        private void nodeRuns() {
            Identity identity = draw(random.nextInt(4) == 0 ? orphans : attempts);
            if (identity == null) {
                return;
            }
            if (random.nextInt(6) == 0 && !orphans.contains(identity) && seen.ask(identity, now).kind()
                == Told.Kind.RUNNING) {
                boolean provedNever = random.nextBoolean();
                if (provedNever) {
                    records.remove(identity);
                    seen.never(identity, now);
                } else {
                    seen.unknown(identity, now);
                }
                toNear.add(new Frame("told", identity, provedNever ? Told.NEVER : Told.UNKNOWN));
                return;
            }
            Work work = owner.get(identity);
            work.runs++;
            assertEquals(1, work.runs, () -> what + ": ran twice, as " + work.sent);
            assertNotEquals(Handover.Next.NEVER_RAN, work.heard, what + ": its client was told that it did not run");
            ran.add(identity);
        }

        private void outcome() {
            Identity identity = draw(ran);
            if (identity != null && seen.ask(identity, now).kind() == Told.Kind.RUNNING) {
                byte[] outcome = identity.toString().getBytes();
                records.put(identity, outcome);
                seen.ran(identity, outcome, now);
                toNear.add(new Frame("told", identity, new Told(Told.Kind.RAN, outcome)));
            }
        }

        private void breakLink() {
            up = false;
            if (random.nextInt(3) == 0) {
                stale.addAll(toFar);      // the far side has not seen the break: it takes what had reached it, at any time
            }
            toFar.clear();
            toNear.clear();
            for (Work work : List.copyOf(open)) {
                end(work, work.now.broken());
            }
        }

        private void connect() {
            if (up) {
                return;
            }
            up = true;
            assertTrue(seen.met("a", nearEpoch, number));
            for (Work work : List.copyOf(open)) {
                if (work.now.ask() == Handover.Next.ASK) {
                    toFar.add(new Frame("ask", work.now.identity(), null));
                }
            }
        }

        private void giveUp() {
            if (!open.isEmpty()) {
                Work work = open.get(random.nextInt(open.size()));
                // The cancel of a body that is not whole follows on the same link: nothing of it can run.
                Handover.Next next = work.now.giveUp();
                assertNull(work.heard);
                work.heard = next;
                open.remove(work);
            }
        }

        private void rare() {
            switch (random.nextInt(8)) {
                case 0, 1 -> farDies();
                case 2 -> {
                    breakLink();
                    nearEpoch++;                            // the near gateway dies: its clients hear nothing
                    number = 0;
                    open.clear();
                }
                case 3 -> {                                 // in the far store something is lost
                    if (random.nextInt(4) == 0 && !records.isEmpty()) {
                        records.keySet().removeIf(i -> random.nextBoolean());
                        storeLost = true;
                        farDies();
                    }
                }
                default -> {}
            }
        }

        private void farDies() {
            breakLink();
            stale.clear();
            recording.clear();
            orphans.addAll(attempts);
            attempts.clear();
            ran.clear();
            seen = new Seen(6, 1e9, !storeLost);
            records.forEach((identity, outcome) -> seen.restore(identity, outcome, now));
        }

        /** At the end all that is open is settled. */
        void settle() {
            for (int i = 0; i < 2_000 && !open.isEmpty(); i++) {
                connect();
                farReceives();
                nearReceives();
                intentIsSafe();
                nodeRuns();
                outcome();
                if (i % 50 == 49) {
                    open.forEach(w -> {
                        if (w.now.ask() == Handover.Next.ASK) {
                            toFar.add(new Frame("ask", w.now.identity(), null));
                        }
                    });
                }
            }
            while (!open.isEmpty()) {
                giveUp();
            }
            assertTrue(all.stream().allMatch(w -> w.runs <= 1), what);
        }
    }

    @Test void nothingRunsTwiceAndWhatAClientWasToldHolds() {
        long resent = 0, proved = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            World world = new World(seed);
            for (int i = 0; i < STEPS; i++) {
                world.step();
            }
            world.settle();
            resent += world.resent;
            proved += world.proved;
        }
        // The simulation is worth something only if it comes to these.
        assertTrue(resent > SEEDS && proved > SEEDS, resent + " sent again, " + proved + " settled by asking");
    }
}
