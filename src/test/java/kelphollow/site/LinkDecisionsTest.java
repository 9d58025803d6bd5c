package kelphollow.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.PriorityQueue;
import java.util.Random;
import kelphollow.site.LinkHealth.State;
import org.junit.jupiter.api.Test;

/** When a link takes work, how much, for how long, and how often again; on a clock that the test moves. */
class LinkDecisionsTest {
    private final LinkHealth health = new LinkHealth(LinkHealth.Options.USUAL, 0);
    private double now;

    /** A link whose pings take so long, for so many milliseconds; with NaN they are not answered. */
    private double run(double roundTrip, double millis) {
        double due = Double.NaN, changed = Double.NaN;
        State before = health.state(now);
        for (double until = now + millis; now < until; now++) {
            if (health.wantsPing(now)) {
                due = now + roundTrip;
            }
            if (now >= due) {
                health.answered(health.pingNumber(), now);
                due = Double.NaN;
            }
            if (health.state(now) != before && Double.isNaN(changed)) {
                changed = now;
            }
        }
        return changed;
    }

    @Test void aLinkThatStandsStillIsKnownWithinAFewRoundTrips() {
        for (double roundTrip : new double[] {1, 5, 40, 150}) {
            LinkDecisionsTest t = new LinkDecisionsTest();
            t.run(roundTrip, 5_000);
            assertEquals(State.UP, t.health.state(t.now), "at " + roundTrip);
            double stalledAt = t.run(Double.NaN, 3_000), began = 5_000;
            assertEquals(State.STALLED, t.health.state(t.now));
            assertTrue(stalledAt - began <= 2 * LinkHealth.Options.USUAL.pingEvery() + Math.max(70, 2 * roundTrip),
                "at " + roundTrip + " known after " + (stalledAt - began));
        }
    }

    @Test void aStalledLinkTakesWorkAgainOnlyAfterAnswersInTime() {
        run(5, 2_000);
        run(Double.NaN, 3_000);
        health.answered(health.pingNumber(), now);              // the late answer
        assertEquals(State.STALLED, health.state(now));
        run(5, 200);
        assertEquals(State.UP, health.state(now));
        assertTrue(health.roundTrip() < 10, "the stall says nothing of the way: " + health.roundTrip());
    }

    @Test void silenceEndsTheLinkForGood() {
        run(5, 1_000);
        run(Double.NaN, 11_000);
        assertEquals(State.DOWN, health.state(now));
        health.answered(health.pingNumber(), now);
        assertEquals(State.DOWN, health.state(now));
    }

    @Test void answersToPingsThatWereNotTheLastSayNothing() {
        run(5, 1_000);
        run(Double.NaN, 500);
        health.answered(health.pingNumber() - 1, now);
        health.answered(health.pingNumber() + 7, now);
        assertEquals(State.STALLED, health.state(now));
    }

    // ---------------------------------------------------------------- window

    /** A far site that does so many at once, each in so many milliseconds, behind a way of so many. */
    private static int windowFor(int servers, double service, double way, LinkWindow window, double millis) {
        PriorityQueue<double[]> ends = new PriorityQueue<>((x, y) -> Double.compare(x[0], y[0]));
        PriorityQueue<Double> free = new PriorityQueue<>();
        for (int i = 0; i < servers; i++) {
            free.add(0.0);
        }
        double now = 0;
        while (now < millis) {
            while (window.hasRoom()) {
                window.sent();
                double end = Math.max(now, free.poll()) + service;
                free.add(end);
                ends.add(new double[] {end + way, now});
            }
            double[] next = ends.poll();
            now = next[0];
            window.answered(now, now - next[1]);
        }
        return window.size();
    }

    @Test void theWindowFollowsWhatTheFarSiteCanDo() {
        // 20 ms of work and 40 ms on the way: with s servers, 3 s requests keep all busy and none waiting.
        for (int servers : new int[] {4, 16, 64}) {
            int size = windowFor(servers, 20, 40, new LinkWindow(LinkWindow.Options.USUAL, 0), 60_000);
            assertTrue(size >= 3 * servers && size <= 3 * servers + 16, servers + " servers: " + size);
        }
    }

    @Test void aStallHalvesTheWindowAndNothingLeavesItsBounds() {
        LinkWindow window = new LinkWindow(LinkWindow.Options.USUAL, 0);
        for (int i = 0; i < 20; i++) {
            window.stalled();
        }
        assertEquals(LinkWindow.Options.USUAL.least(), window.size());
        assertTrue(windowFor(100_000, 1, 1, window, 5_000) <= LinkWindow.Options.USUAL.most());
    }

    // ---------------------------------------------------------------- budget, time, drain

    @Test void furtherAttemptsStayAPartOfFirstOnes() {
        AttemptBudget budget = new AttemptBudget(0.1, 20);
        Random random = new Random(5);
        int first = 0, further = 0;
        for (int i = 0; i < 100_000; i++) {
            if (random.nextInt(3) == 0) {
                budget.first();
                first++;
            } else if (budget.further()) {
                further++;
            }
            assertTrue(further <= 20 + 0.1 * first + 1e-6);
        }
        assertTrue(further > 0.09 * first, further + " of " + first);
    }

    @Test void theFarSiteIsAskedToAnswerBeforeTheNearOneMust() {
        double left = TimeLeft.forFar(1_000, 200, 40);
        double far = TimeLeft.deadline(left, 5_000, 77_000) - 77_000;     // its clock is another
        assertTrue(200 + 40 + far + 40 <= TimeLeft.answerAt(1_000));
        assertEquals(0, TimeLeft.forFar(1_000, 900, 50), "it could not be back in time");
        assertEquals(5_000, TimeLeft.deadline(1e300, 5_000, 0), "a figure that nobody can mean");
        assertEquals(7, TimeLeft.deadline(-3, 5_000, 7));
        assertEquals(0, TimeLeft.forFar(Double.NaN, 0, 1) > 0 ? 1 : 0, "no number is no time");
    }

    @Test void aDrainStopsNewWorkAtOnceAndLetsTheRestEnd() {
        RemoteDrain drain = new RemoteDrain(250);
        assertTrue(drain.mayBegin());
        drain.told(2_000, 100);
        assertFalse(drain.mayBegin());
        assertEquals(350, drain.nothingNewAfter());
        assertFalse(drain.isOver(2_099));
        drain.told(5_000, 300);
        assertTrue(drain.isOver(2_100), "said again, the sooner end holds");
    }
}
