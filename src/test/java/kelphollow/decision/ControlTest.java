package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlAction.CancelAttempt;
import kelphollow.decision.ControlAction.PollEndpoints;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlAction.SetTimer;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.ClientDisconnected;
import kelphollow.decision.ControlEvent.EndpointPollFailed;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.NodesSuspected;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.ResponseStarted;
import kelphollow.decision.ControlEvent.RetryBudgetChanged;
import kelphollow.decision.ControlEvent.ShutdownStarted;
import kelphollow.decision.ControlEvent.TimerFired;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.Rules;
import org.junit.jupiter.api.Test;

/** The ordinary path and the rules, driven by events alone. */
class ControlTest {
    /** Fills the window of node n0 so that what follows is held, and returns how many it took. */
    private static int fill(ControlHarness rig) {
        int n = 0;
        while (!rig.ask("fill" + n, "read", "free", "filler" + n, 1, 0).stream().noneMatch(a -> a instanceof SendAttempt)) {
            n++;
        }
        rig.tell(new ClientDisconnected("fill" + n));
        return n;
    }

    @Test void conformingVolumeOvertakesOneBeyondItsCurve() {
        ControlHarness rig = ControlHarness.ready();
        fill(rig);
        rig.ask("hot0", "read", "free", "hot", 11, 0);   // spends the whole burst of 10, tokens go negative
        rig.ask("hot1", "read", "free", "hot", 1, 0);    // first beyond: starts at MaxS
        rig.ask("hot2", "read", "free", "hot", 1, 0);    // 100 ms further on
        rig.now += 1;
        rig.ask("calm", "read", "free", "calm", 1, 0);
        rig.end("fill0", AttemptOutcome.SERVED, 20);
        rig.end("fill1", AttemptOutcome.SERVED, 20);
        rig.end("fill2", AttemptOutcome.SERVED, 20);
        List<String> sent = rig.sent();
        assertTrue(sent.indexOf("calm") >= 0 && sent.indexOf("hot2") < 0 || sent.indexOf("calm") < sent.indexOf("hot2"));
    }

    @Test void smallestFinishTagLeavesFirstAcrossClasses() {
        ControlHarness rig = ControlHarness.ready();
        fill(rig);
        rig.ask("w", "write", "free", "v1", 1, 0);       // finish at +400
        rig.ask("r", "read", "free", "v2", 1, 0);        // finish at +300
        rig.end("fill0", AttemptOutcome.SERVED, 20);
        assertTrue(rig.sent().contains("r"));
        assertTrue(!rig.sent().contains("w") || rig.sent().indexOf("r") < rig.sent().indexOf("w"));
    }

    @Test void shiftLetsALoneHotVolumeCompeteWithALaterOne() {
        ControlHarness rig = ControlHarness.ready();
        fill(rig);
        rig.ask("burst", "read", "free", "hot", 30, 0);
        rig.end("fill0", AttemptOutcome.SERVED, 20);            // burst leaves; tokens are at -20
        rig.ask("h1", "read", "free", "hot", 4, 0);      // start now, MaxS 400 ms ahead
        rig.ask("h2", "read", "free", "hot", 4, 0);      // start +400
        rig.ask("h3", "read", "free", "hot", 4, 0);      // start +800
        rig.end("fill1", AttemptOutcome.SERVED, 20);
        rig.end("fill2", AttemptOutcome.SERVED, 20);
        rig.now += 1;
        int before = rig.sent().size();
        rig.ask("late", "write", "free", "calm", 1, 0);  // finish +400; without the shift h-tags lie far beyond
        rig.end("burst", AttemptOutcome.SERVED, 20);
        rig.end("h1", AttemptOutcome.SERVED, 20);
        assertTrue(rig.sent().size() > before);
        assertTrue(rig.sent().containsAll(List.of("h1", "h2", "h3", "late")));
    }

    @Test void deadRequestsGiveTheirTokensBack() {
        ControlHarness rig = ControlHarness.ready();
        fill(rig);
        for (int i = 0; i < 40; i++) {
            rig.ask("dead" + i, "read", "free", "hot", 5, 0);
        }
        rig.pass(rig.now + 310);                          // all of them miss their aim
        rig.ask("other", "write", "free", "calm", 1, 0);
        rig.ask("alive", "read", "free", "hot", 1, 0);    // must not wait 200 units behind the dead
        rig.end("fill0", AttemptOutcome.SERVED, 20);
        assertTrue(rig.sent().contains("alive"));
    }

    @Test void windowNarrowsWithLatencyAndStaysUnderTheCeiling() {
        ControlHarness fast = ControlHarness.ready();
        int most = flood(fast, 20);
        ControlHarness slow = ControlHarness.ready();
        int few = flood(slow, 900);
        assertTrue(most > few, most + " against " + few);
        assertTrue(most <= 32);
        assertTrue(few <= 1, "one at most, or less than one as a pace");
    }

    /** Serves a steady backlog at a latency; returns how many are out at the end. */
    private static int flood(ControlHarness rig, double latency) {
        int id = 0, out = 0;
        for (int round = 0; round < 300; round++) {
            while (id < 40 * (round + 1)) {
                rig.ask("q" + id, "read", "free", "v" + id % 50, 1, 0, null, rig.now + 60_000, 1);
                id++;
            }
            List<String> inFlight = rig.sent().stream().filter(s -> !rig.doneAlready(s)).toList();
            rig.now += latency;
            inFlight.forEach(s -> rig.finish(s, latency));
            out = (int) rig.sent().stream().filter(s -> !rig.doneAlready(s)).count();
            if (round % 20 == 0) {
                rig.forget();
            }
        }
        return out;
    }

    @Test void everyHeldRequestIsAnsweredByTimersAlone() {
        ControlHarness rig = ControlHarness.ready();
        rig.list(ControlHarness.node("n0", 0, EndpointState.DRAINING, 0));
        rig.ask("a", "read", "free", "v", 1, 0);
        rig.ask("b", "write", "free", "v", 1, 0);
        rig.pass(rig.now + 1999);
        assertEquals(List.of("refused a", "refused b"), rig.answered());
    }

    /** Guards against holding what is given up on until its deadline: the client then has no time to come again. */
    @Test void whatMissesItsAimUnsentIsRefusedAtOnceWithAdvice() {
        ControlHarness rig = ControlHarness.ready();
        rig.list(ControlHarness.node("n0", 0, EndpointState.DRAINING, 0));
        rig.ask("a", "read", "free", "v", 1, 0);
        rig.pass(rig.now + 295);
        assertEquals(List.of(), rig.answered(), "it may still meet its aim");
        rig.pass(rig.now + 10);
        RejectRequest longest = new RejectRequest("a", 1000, Reason.LOAD_SHED);
        assertTrue(rig.actions.contains(longest), "its node takes nothing: the longest advice");
    }

    /** Guards against a repeat taking the place of a first try: its aim counts from the first, long past. */
    @Test void aRepeatIsKnownByItsShorterDeadline() {
        ControlHarness rig = ControlHarness.ready();
        fill(rig);
        rig.ask("again", "read", "free", "v1", 1, 0, null, rig.now + 1500, 1);
        rig.ask("first", "read", "free", "v2", 1, 0);
        rig.end("fill0", AttemptOutcome.SERVED, 20);
        rig.end("fill1", AttemptOutcome.SERVED, 20);
        assertTrue(rig.sent().contains("first"));
        assertFalse(rig.sent().contains("again"), "only an idle node takes it");
        rig.pass(rig.now + 1000);
        assertEquals(List.of("refused again"), rig.answered(), "given up before half of its time is over");
    }

    @Test void adviceIsTheTimeUntilTheLimitHoldsTheUnits() {
        ControlHarness rig = ControlHarness.ready();
        rig.ask("a", "read", "limited", "v", 15, 0);      // 4.5 of the slack are lent; it fills at 20 a second
        assertEquals(List.of("refused a"), rig.answered());
        double wait = (10.5 + 10.5 / 3) / 20 * 1000;      // a quarter of what flows in pays back
        assertTrue(rig.actions.contains(new RejectRequest("a", wait, Reason.RATE_LIMITED)), rig.actions.toString());
    }

    @Test void anAttemptThatStaysOutEndsInOneAnswer() {
        ControlHarness rig = ControlHarness.ready();
        rig.ask("a", "write", "free", "v", 1, 0);
        rig.pass(rig.now + 2499);
        assertEquals(List.of("failed a"), rig.answered());
        assertTrue(rig.actions.contains(new CancelAttempt("a", 0)));
        rig.end("a", AttemptOutcome.CANCELLED, 2000);            // late news of an ended request
        rig.tell(new ClientDisconnected("a"));
        assertEquals(1, rig.answered().size());
        assertEquals(List.of("a"), rig.sent());
    }

    @Test void unsafeRequestThatMayHaveRunIsNeitherRepeatedNorRefused() {
        ControlHarness rig = ControlHarness.ready();
        rig.ask("w", "write", "free", "v", 1, 0);
        rig.end("w", AttemptOutcome.ERROR, 5);
        assertEquals(List.of("failed w"), rig.answered());
        assertEquals(List.of("w"), rig.sent());
    }

    @Test void unsafeRequestThatNeverRanIsTriedAgain() {
        ControlHarness rig = ControlHarness.ready();
        rig.ask("w", "write", "free", "v", 1, 0);
        rig.end("w", AttemptOutcome.AT_CAPACITY, 5);
        rig.pass(rig.now + 1500);
        assertEquals(2, rig.tries.get("w"));
        assertTrue(rig.answered().isEmpty());
    }

    @Test void keyedNewObjectIsRepeatedOnlyAtItsCell() {
        ControlHarness rig = ControlHarness.ready();
        rig.ask("k", "keyed", "free", "v", 1, -1);
        String first = rig.nodeOf("k");
        rig.end("k", AttemptOutcome.RESET, 5);
        rig.pass(rig.now + 1500);
        assertEquals(2, rig.tries.get("k"));
        assertEquals(first, rig.nodeOf("k"));
    }

    @Test void aKeyedRequestIsRepeatedWithinItsWindowAndNeverAfter() {
        for (double gone : new double[] {3_000, 3_990}) {
            ControlHarness rig = ControlHarness.ready();
            rig.ask("k", "keyed", "free", "v", 1, 0, "chunk", rig.now + 20_000, 1);
            rig.pass(rig.now + gone);
            rig.end("k", AttemptOutcome.RESET, gone);             // it may have run; nodes forget its key at 4,000 ms
            rig.pass(rig.now + 500);
            assertEquals(gone < 3_900 ? 2 : 1, rig.sent().size(), "reset after " + gone);
            if (gone > 3_900) assertEquals(List.of("failed k"), rig.answered(), "it may not be called harmless");
        }
    }

    @Test void plansWithoutReserveWithoutLimitOrWithNeitherServe() {
        for (Plan plan : List.of(new Plan("p", 10, 0, 1, 1, 20, 24, 6), new Plan("p", 10, 12, 1, 1, 0, 0, 0),
            new Plan("p", 10, 0, 1, 1, 0, 0, 0))) {
            ControlSettings s = ControlHarness.settings(false, ControlHarness.RULES);
            Control control = new Control(new ControlSettings(0, 2, "a", 1, 4, 10_000, true, false, 1000, 2, 0.4, 0.05, s
                .classes(),
                List.of(plan), s.rules()), 7, 0);
            control.start();
            control.on(10_000, new EndpointsReceived(List.of(ControlHarness.node("n0", 0, EndpointState.HEALTHY, 0)), true,
                false));
            for (int i = 0; i < 40; i++) {                  // four times the plan's rate, answered at once
                double at = 10_000 + i * 25;
                List<ControlAction> got = control.on(at, new RequestArrived("r" + i, "read", "p", null, at + 2_000, "v", 1,
                    0, 1));
                boolean within = plan.limitRate() == 0 || i < 24;
                assertTrue(!within || got.stream().anyMatch(a -> a instanceof SendAttempt), plan + " request " + i);
                control.on(at + 10, new AttemptEnded("r" + i, 0, "n0", AttemptOutcome.SERVED, 10, true, false, 0, 40, Map
                    .of()));
            }
        }
    }

    @Test void nothingNewGoesToADrainingNode() {
        ControlHarness rig = ControlHarness.ready();
        fill(rig);
        rig.ask("held", "read", "free", "v", 1, 0);
        rig.list(ControlHarness.node("n0", 0, EndpointState.DRAINING, 0), ControlHarness.node("n1", 1, EndpointState.HEALTHY,
            0));
        rig.end("fill0", AttemptOutcome.SERVED, 20);
        rig.ask("new", "write", "free", "v", 1, -1);
        assertFalse(rig.sent().contains("held"));
        assertEquals("n1", rig.nodeOf("new"));
        rig.list(ControlHarness.node("n1", 1, EndpointState.HEALTHY, 0));    // left out of the whole list: gone
        rig.pass(rig.now + 1900);
        assertFalse(rig.sent().contains("held"));
    }

    @Test void coldNodeGetsOnlyThisHostsPartOfTheColdUnits() {
        ControlHarness rig = new ControlHarness(false, 50_000);
        rig.tell(new EndpointsReceived(List.of(ControlHarness.node("n0", 0, EndpointState.HEALTHY, 49_990)), true, true));
        for (int i = 0; i < 20; i++) {
            rig.ask("r" + i, "read", "free", "v" + i, 1, 0);
            if (rig.tries.containsKey("r" + i)) {
                rig.end("r" + i, AttemptOutcome.SERVED, 5);
            }
        }
        assertEquals(3, rig.sent().size());               // 6 units for two hosts
        rig.pass(rig.now + 900);
        assertTrue(rig.sent().size() <= 4, "still within one span");
    }

    @Test void orderedKeyRunsOneAtATimeAndRestsAfterAnUnknownOutcome() {
        ControlHarness rig = ControlHarness.ready();
        rig.ask("t1", "turns", "free", "v", 1, 0, "k", rig.now + 2500, 1);
        rig.ask("t2", "turns", "free", "v", 1, 0, "k", rig.now + 2500, 1);
        rig.ask("x", "turns", "free", "v", 1, 0, "other", rig.now + 2500, 1);
        assertEquals(List.of("t1", "x"), rig.sent());
        rig.end("x", AttemptOutcome.SERVED, 5);
        double at = rig.now;
        rig.end("t1", AttemptOutcome.RESET, 5);
        rig.pass(at + 199);
        assertEquals(List.of("t1", "x"), rig.sent());
        rig.pass(at + 1300);
        assertEquals(List.of("t1", "x", "t2"), rig.sent());
    }

    @Test void orderedKeyWaitsForAnAttemptWhoseRequestIsAnswered() {
        ControlHarness rig = ControlHarness.ready();
        rig.ask("t1", "turns", "free", "v", 1, 0, "k", rig.now + 2500, 1);
        rig.ask("t2", "turns", "free", "v", 1, 0, "k", rig.now + 2500, 1);
        rig.tell(new ClientDisconnected("t1"));
        rig.pass(rig.now + 100);
        assertTrue(rig.actions.contains(new CancelAttempt("t1", 0)), "nobody waits for it any more");
        assertEquals(List.of("t1"), rig.sent());
        double at = rig.now;
        rig.end("t1", AttemptOutcome.CANCELLED, 100);
        rig.pass(at + 199);
        assertEquals(List.of("t1"), rig.sent());
        rig.pass(at + 1200);
        assertEquals(List.of("t1", "t2"), rig.sent());
    }

    @Test void furtherAttemptsStayWithinTheBudget() {
        ControlHarness rig = ControlHarness.ready();
        for (int i = 0; i < 12; i++) {
            rig.ask("r" + i, "read", "free", "v" + i, 1, i % 2, null, rig.now + 4000, 1);
        }
        for (int step = 0; step < 700; step++) {
            rig.pass(rig.now + 5);
            for (String id : List.copyOf(rig.sent())) {
                if (!rig.doneAlready(id)) {
                    rig.fail(id);
                }
            }
        }
        int further = rig.sent().size() - rig.tries.size();
        assertTrue(further > 0, "some are tried again");
        assertTrue(further <= 3 + 0.1 * 12, further + " further attempts");
    }

    /** The store of the rule beside two hosts that spend all they may and are killed together, twice. */
    @Test void restartsOfAllHostsTogetherOverdrawALimitByItsSlackAtMost() {
        Plan plan = ControlHarness.LIMITED;
        double now = 50_000, store = plan.limitBurst(), least = store;
        int first = 0;
        for (int life = 0; life < 3; life++) {
            ControlHarness[] hosts = {new ControlHarness(false, now), new ControlHarness(false, now)};
            for (ControlHarness h : hosts) {
                h.list(ControlHarness.node("n0", 0, EndpointState.HEALTHY, 0), ControlHarness.node("n1", 1,
                    EndpointState.HEALTHY, 0));
            }
            for (int i = 0; i < 800; i++) {
                for (ControlHarness h : hosts) {
                    h.now = now;
                    int before = h.sent().size();
                    h.ask("l" + i, "read", "limited", "v", 1, i % 2, null, now + 2000, 2);
                    h.sent().stream().filter(l -> !h.doneAlready(l)).forEach(l -> h.finish(l, 20));
                    store -= h.sent().size() - before;
                }
                if (life == 1 && i == 0) first = hosts[0].sent().size();
                least = Math.min(least, store);
                now += 5;
                store = Math.min(plan.limitBurst(), store + plan.limitRate() / 200);
            }
        }
        assertTrue(least >= -plan.limitSlack(), "the store went down to " + least);
        assertTrue(first > 0, "a host that starts need not refuse its first request");
    }

    @Test void aLoanStillOwedIsTakenOffWhatIsHandedOver() {
        ControlHarness rig = ControlHarness.ready();
        rig.ask("a", "read", "limited", "v", 2, 0);       // 4.5 lent, 2 spent
        assertEquals(-2.0, rig.control.limitTokens().get("v"), 1e-9, "or the next life would keep what was lent");
    }

    @Test void aLimitFillsFromTheStartOfTheProcess() {
        Control c = new Control(ControlHarness.settings(false, ControlHarness.RULES), 1, 49_600);   // 8 units at 20 a second
        c.on(50_000, new RequestArrived("a", "read", "limited", null, 52_000, "v", 1, 0, 1));
        assertEquals(8.0, c.limitTokens().get("v"), 1e-9, "with the loan, less what is owed of it");
    }

    @Test void limitIsKeptByItsEvenPartAndARestartBeginsWithALoan() {
        ControlHarness rig = ControlHarness.ready();                            // burst 24 and 20 a second over two hosts: 12 and 10
        double start = rig.now, sent = 0;
        for (int i = 0; i < 400; i++) {
            rig.now += 5;
            rig.ask("l" + i, "read", "limited", "v", 1, i % 2, null, rig.now + 2000, 2);
            rig.sent().stream().filter(l -> !rig.doneAlready(l)).forEach(l -> rig.finish(l, 20));
            sent = rig.sent().size();
            assertTrue(sent <= 2.25 + (rig.now - start) / 100 + 0.001, sent + " units at " + (rig.now - start));
        }
        assertTrue(sent > 8, "the part is used: " + sent);
    }

    /** The first request of a volume may tell of fewer hosts than share it later: the newest count binds, on both ways. */
    @Test void aLimitsEvenPartFollowsTheNewestCountOfHosts() {
        for (int[] counts : new int[][] {{1, 4}, {4, 1}, {2, 4}, {4, 2}}) {
            ControlHarness rig = ControlHarness.ready();
            rig.ask("first", "read", "limited", "v", 0, 0, null, rig.now + 2000, counts[0]);
            for (int i = 0; i < 400; i++) {
                rig.now += 5;
                rig.ask("l" + i, "read", "limited", "v", 1, i % 2, null, rig.now + 2000, counts[1]);
                rig.sent().stream().filter(l -> !rig.doneAlready(l)).forEach(l -> rig.finish(l, 20));
            }
            double first = ControlHarness.LIMITED.limitSlack() / counts[0], part = 2 * ControlHarness.LIMITED.limitRate()
                / counts[1];
            String counted = counts[0] + " hosts, then " + counts[1] + ": " + rig.sent().size();
            assertTrue(rig.sent().size() <= 1 + first + part, counted);
            assertTrue(rig.sent().size() >= 0.6 * part, counted);
        }
    }

    /** Hosts join and leave under load, each told of it by its own next request: together they keep the one limit. */
    @Test void partsNeverSumPastALimitWhileTheCountOfHostsChanges() {
        Plan plan = ControlHarness.LIMITED;
        ControlHarness[] hosts = new ControlHarness[6];
        double now = 50_000, store = plan.limitBurst(), least = store;
        int sent = 0;
        for (int step = 0; step < 1_500; step++) {
            int count = new int[] {2, 6, 1, 4, 2, 3}[step / 250];
            for (int h = 0; h < count; h++) {
                if (hosts[h] == null) {
                    hosts[h] = new ControlHarness(false, now);
                    hosts[h].list(ControlHarness.node("n0", 0, EndpointState.HEALTHY, 0), ControlHarness.node("n1", 1,
                        EndpointState.HEALTHY, 0));
                }
                ControlHarness host = hosts[h];
                host.now = now;
                int before = host.sent().size();
                boolean idle = step % 250 < 75;     // so that levels fill up before the next burst
                if (!idle) {
                    host.ask("l" + step, "read", "limited", "v", 1, step % 2, null, now + 2000, count);
                    host.sent().stream().filter(l -> !host.doneAlready(l)).forEach(l -> host.finish(l, 20));
                }
                store -= host.sent().size() - before;
                sent += host.sent().size() - before;
            }
            least = Math.min(least, store);
            now += 20;
            store = Math.min(plan.limitBurst(), store + plan.limitRate() / 50);
        }
        assertTrue(least >= -plan.limitSlack(), "the store went down to " + least);
        assertTrue(sent > 0.5 * plan.limitRate() * 30, "the limit is used: " + sent);
    }

    @Test void unknownPlanIsRefusedAndOthersGoOn() {
        ControlHarness rig = ControlHarness.ready();
        rig.ask("bad", "read", "nothing", "v", 1, 0);
        rig.ask("good", "read", "free", "v", 1, 0);
        assertEquals(List.of("refused bad"), rig.answered());
        assertEquals(List.of("good"), rig.sent());
    }

    @Test void badSettingsNameTheSetting() {
        ControlSettings s = ControlHarness.settings(false, ControlHarness.RULES);
        ControlSettings none = new ControlSettings(0, 2, "a", 1, 4, 10, true, false, 1000, 2, 0.4, 0.05, List.of(), s
            .plans(), s.rules());
        assertTrue(assertThrows(IllegalArgumentException.class, () -> new Control(none, 1, 0))
            .getMessage().contains("classes"));
        ControlSettings negative = new ControlSettings(0, 2, "a", 1, 4, 10, true, false, 1000, 2, 0.4, 0.05, s.classes(),
            List.of(new Plan("p", -1, 0, 1, 1, 0, 0, 0)), s.rules());
        assertTrue(assertThrows(IllegalArgumentException.class, () -> new Control(negative, 1, 0))
            .getMessage().contains("rate of plan p"));
    }

    @Test void listIsAskedOnceAndAgainAfterAFailureWithAPause() {
        ControlHarness rig = new ControlHarness(true, 50_000);
        rig.pass(rig.now + 2 * EndpointPollSchedule.SPREAD_PER_INSTANCE);   // two hosts: their first calls are spread over this
        assertEquals(1, subscribes(rig));
        rig.tell(new EndpointPollFailed(EndpointPollFailure.UNREACHABLE));
        assertEquals(1, subscribes(rig));
        rig.pass(rig.now + 1600);
        assertEquals(2, subscribes(rig));
        rig.list(ControlHarness.node("n0", 0, EndpointState.HEALTHY, 0));
        rig.pass(rig.now + 20_000);
        assertEquals(2, subscribes(rig));
    }

    private static long subscribes(ControlHarness rig) {
        return rig.actions.stream().filter(a -> a instanceof PollEndpoints).count();
    }

    @Test void newObjectsAvoidANodeThatStandsStill() {
        ControlHarness rig = ControlHarness.ready();
        rig.ask("stuck", "write", "free", "v", 1, 0);    // one silent attempt may be a lost answer, two are not
        rig.ask("too", "write", "free", "v", 1, 0);
        rig.pass(rig.now + 900);
        for (int i = 0; i < 3; i++) {
            rig.ask("w" + i, "write", "free", "v", 1, -1);
            assertEquals("n1", rig.nodeOf("w" + i));
        }
    }

    @Test void sameEventsGiveTheSameActions() {
        List<List<ControlAction>> runs = new java.util.ArrayList<>();
        for (int i = 0; i < 2; i++) {
            ControlHarness rig = ControlHarness.ready();
            flood(rig, 40);
            runs.add(List.copyOf(rig.actions));
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    /** ife907a: a release left cold nodes nearly closed, as one cold unit a host let no request through. */
    @Test void coldNodeMayTakeWhatTheOthersBestLatencyShows() {
        ControlHarness rig = ControlHarness.ready();
        for (int i = 0; i < 10; i++) {
            rig.ask("w" + i, "read", "free", "v" + i, 2, 1);
            rig.now += 50;
            rig.finish("w" + i, 50);
        }
        rig.list(ControlHarness.node("n0", 0, EndpointState.HEALTHY, rig.now), ControlHarness.node("n1", 1,
            EndpointState.HEALTHY, 0));
        int before = rig.sent().size();
        for (int i = 0; i < 20; i++) {                    // 2 x 1000 x 2 / 50 x 0.25 / 2 hosts = 10 units
            rig.ask("c" + i, "read", "free", "u" + i, 2, 0);
            if (rig.tries.containsKey("c" + i)) {
                rig.finish("c" + i, 50);
            }
        }
        assertEquals(5, rig.sent().size() - before);
    }

    /** ie7d7b6: late requests took every second turn at a busy node. */
    @Test void aLateRequestWaitsUntilTheNodeHasBeenIdle() {
        ControlHarness rig = ControlHarness.ready();
        int filled = fill(rig);
        rig.ask("held", "read", "free", "v", 1, 0);
        rig.pass(rig.now + 320);                          // its aim is missed
        double at = rig.now;
        for (int i = 0; i < filled; i++) {
            rig.end("fill" + i, AttemptOutcome.SERVED, 320);
        }
        assertFalse(rig.sent().contains("held"));
        rig.pass(at + 100);
        assertFalse(rig.sent().contains("held"));
    }

    /** A draining node may come back, restarted, before its waiting requests have run out of time. */
    @Test void aReplacementOfTheSameCellServesWhatWaits() {
        ControlHarness rig = ControlHarness.ready();
        rig.list(ControlHarness.node("n0", 0, EndpointState.DRAINING, 0), ControlHarness.node("n1", 1, EndpointState.HEALTHY,
            0));
        rig.ask("held", "read", "free", "v", 1, 0);
        assertFalse(rig.sent().contains("held"));
        rig.list(ControlHarness.node("n9", 0, EndpointState.HEALTHY, 0), ControlHarness.node("n1", 1, EndpointState.HEALTHY,
            0));
        assertEquals("n9", rig.nodeOf("held"));
    }

    /** i5fdb92: sends for clients that would have left before the answer were wasted node work. */
    @Test void nothingIsSentThatCannotEndBeforeTheClientLeaves() {
        ControlHarness rig = ControlHarness.ready();
        rig.ask("seen", "read", "free", "v", 1, 0);
        rig.now += 100;
        rig.end("seen", AttemptOutcome.SERVED, 100);
        rig.ask("brief", "read", "free", "v", 2, 0, null, rig.now + 30, 1);
        rig.pass(rig.now + 29);
        assertEquals(List.of("seen"), rig.sent());
        assertEquals(List.of("refused brief"), rig.answered());
    }

    @Test void aPartSmallerThanOneRequestStillHoldsItsCurve() {
        ControlHarness rig = ControlHarness.ready();
        fill(rig);
        rig.ask("hot0", "read", "free", "hot", 6, 0, null, rig.now + 2000, 20);   // 0.5 units a second here
        rig.ask("hot1", "read", "free", "hot", 6, 0, null, rig.now + 2000, 20);
        rig.ask("calm", "read", "free", "calm", 2, 0, null, rig.now + 2000, 20);  // must start now, not seconds on
        rig.now += 1;
        rig.ask("whole", "write", "free", "other", 2, 0);
        for (int i = 0; i < 3; i++) {
            rig.end("fill" + i, AttemptOutcome.SERVED, 20);
        }
        assertTrue(rig.sent().contains("calm"));
        assertTrue(!rig.sent().contains("whole") || rig.sent().indexOf("calm") < rig.sent().indexOf("whole"));
    }

    @Test void oneLostAnswerIsNoSilenceOfTheNode() {
        ControlHarness rig = ControlHarness.ready();
        rig.ask("lost", "write", "free", "v", 1, 0);
        rig.pass(rig.now + 1000);
        for (int i = 0; i < 5; i++) {
            rig.ask("r" + i, "read", "free", "v" + i, 1, 0);
            assertTrue(rig.sent().contains("r" + i), "goes out beside the lost one");
            rig.now += 20;
            rig.finish("r" + i, 20);
        }
    }

    @Test void aSafeRequestWithALostAnswerIsRepeatedWithinItsAim() {
        ControlHarness rig = ControlHarness.ready();
        for (int i = 0; i < 30; i++) {
            rig.ask("s" + i, "read", "free", "v" + i, 1, 0);
            rig.now += 20;
            rig.finish("s" + i, 20);
        }
        double asked = rig.now;
        List<ControlAction> got = rig.ask("lost", "read", "free", "v", 1, 0);
        SendAttempt send = (SendAttempt) got.stream().filter(a -> a instanceof SendAttempt).findFirst().orElseThrow();
        assertTrue(send.timeout() > 60 && send.timeout() < 300, "time-out " + send.timeout());
        rig.now = asked + send.timeout();
        rig.end("lost", AttemptOutcome.TIMED_OUT, send.timeout());
        assertEquals(2, rig.tries.get("lost"));
        assertTrue(rig.now < asked + 300);
        rig.ask("unsafe", "write", "free", "v", 1, 0);
        assertEquals(1, rig.tries.get("unsafe"));
    }

    /** Two hundred hosts, one node just restarted: some of what is asked goes out, within what the rule bears. */
    @Test void manyHostsShareAColdNodeByLot() {
        int hosts = 200;
        Rules rules = ControlHarness.RULES;                              // bears 2 x a quarter of its capacity at first
        ControlSettings s = ControlHarness.settings(false, rules);
        ControlSettings many = new ControlSettings(0, hosts, "a", s.tick(), 4, 10_000, true, false, 1000, 2, 0.4, 0.05, s
            .classes(),
            s.plans(), rules);
        List<Control> fleet = new java.util.ArrayList<>();
        double start = 50_000, units = 0;
        for (int h = 0; h < hosts; h++) {
            Control c = new Control(many, h, start);
            c.on(start, new EndpointsReceived(List.of(ControlHarness.node("n", 0, EndpointState.HEALTHY, start)), true,
                false));
            fleet.add(c);
        }
        for (int i = 0; i < 40; i++) {                        // a second of what 80 units of capacity are asked for
            double now = start + 25 * i;
            for (ControlAction a : fleet.get(i * 7 % hosts).on(now, new RequestArrived("q" + i, "read", "free", null, now
                + 2000,
                "v" + i, 2, 0, 24))) {
                units += a instanceof SendAttempt ? 2 : 0;
            }
        }
        assertTrue(units > 0, "a cold node is used");
        assertTrue(units < 2 * 0.25 * 80, "the rule bears 40 units in this second, sent " + units);
    }

    private static int sentToAColdNode(boolean answered) {
        Rules rules = ControlHarness.RULES;
        ControlSettings s = ControlHarness.settings(false, rules);
        Control c = new Control(new ControlSettings(0, 14, "a", s.tick(), 4, 10_000, true, false, 1000, 2, 0.4, 0.05,
            s.classes(), s.plans(), rules), 7, 50_000);
        c.on(50_000, new EndpointsReceived(List.of(ControlHarness.node("n", 0, EndpointState.HEALTHY, 45_000)), true,
            false));   // half warm
        int sent = 0;
        for (int i = 0; i < 8; i++) {                         // all within a span of the rule
            double now = 50_000 + 100 * i;
            String id = "q" + i;
            for (ControlAction a : c.on(now, new RequestArrived(id, "read", "free", null, now + 2000, "v" + i, 2, 0, 14))) {
                if (a instanceof SendAttempt send) {
                    sent++;
                    if (answered) {
                        c.on(now + 40, new AttemptEnded(send.id(), 0, "n", AttemptOutcome.SERVED, 40, true, false, 0, -1,
                            Map.of()));
                    }
                }
            }
        }
        return sent;
    }

    /** Of many hosts some get several times the mean: what those may not send, no other sends in their place. */
    @Test void aColdNodeTakesASecondRequestOfAHostOnceTheFirstIsAnswered() {
        assertEquals(1, sentToAColdNode(false));
        assertEquals(2, sentToAColdNode(true));
    }

    /** Before a planned end nothing may stay open: what came before and what comes after the news alike. */
    @Test void aNodeFoundSilentElsewhereIsTriedByATrickleUntilItAnswersHere() {
        ControlHarness rig = ControlHarness.ready();
        rig.tell(new NodesSuspected(java.util.Set.of("n0")));
        assertEquals(java.util.Set.of(), rig.control.unresponsiveNodes().keySet(),
            "another's finding is not passed on as our own");
        rig.pass(rig.now + 1_001);
        rig.ask("a", "read", "free", "v", 1, 0);
        rig.ask("b", "read", "free", "w", 1, 0);
        assertEquals(List.of("a"), rig.sent(), "one at a time");
        rig.tell(new NodesSuspected(java.util.Set.of("n0")));
        rig.end("a", AttemptOutcome.SERVED, 20);
        assertEquals(List.of("a", "b"), rig.sent(), "it answered here");
        rig.tell(new NodesSuspected(java.util.Set.of("n0")));
        rig.ask("c", "read", "free", "v", 1, 0);
        assertEquals(List.of("a", "b", "c"), rig.sent(), "the same finding counts once");
        rig.end("b", AttemptOutcome.CONNECT_FAILED, 20);
        assertEquals(java.util.Set.of("n0"), rig.control.unresponsiveNodes().keySet());
    }

    @Test void allThatIsOpenIsAnsweredBeforeTheInstanceEnds() {
        ControlHarness rig = ControlHarness.ready();
        rig.ask("before", "write", "free", "v", 1, 0);
        rig.tell(new ShutdownStarted(rig.now + 500));
        rig.now += 100;
        rig.ask("after", "read", "free", "v", 1, 0);
        rig.pass(rig.now + 399);
        assertEquals(List.of(), rig.answered());
        rig.pass(rig.now + 5);
        assertEquals(java.util.Set.of("failed before", "refused after"), java.util.Set.copyOf(rig.answered()));
    }

    /** On days on which nodes come under ever new ids, what is known of those that have gone must not pile up. */
    @Test void aNodeThatHasGoneIsForgottenWithItsLastAttempt() {
        ControlHarness rig = ControlHarness.ready();
        rig.ask("r", "read", "free", "v", 1, 0);
        rig.tell(new EndpointsReceived(List.of(ControlHarness.node("n0", 0, EndpointState.REMOVED, 0), ControlHarness.node(
            "n1", 1, EndpointState.REMOVED, 0)), false, false));
        assertEquals(1, rig.control.nodesKnown(), "an attempt is out at n0");
        rig.end("r", AttemptOutcome.SERVED, 20);
        assertEquals(0, rig.control.nodesKnown());
        rig.list(ControlHarness.node("n2", 0, EndpointState.HEALTHY, 0));
        rig.list(ControlHarness.node("n3", 0, EndpointState.HEALTHY, 0));
        assertEquals(1, rig.control.nodesKnown(), "a whole list leaves out what has gone");
    }

    @Test void volumesThatRestAreForgottenOnceThereAreMany() {
        ControlHarness rig = ControlHarness.ready();
        for (int i = 0; i < VolumeTable.IDLE_KEPT_BELOW; i++) {
            rig.tell(new RequestArrived("made up " + i, "read", "free", "k", rig.now + 1, "made up " + i, 1, 99, 1));
        }
        rig.pass(rig.now + 10);
        assertEquals(VolumeTable.IDLE_KEPT_BELOW, rig.control.volumesKnown());
        rig.now += VolumeTable.IDLE_AFTER_MS + 100;
        rig.ask("r", "read", "free", "v", 1, 0);
        assertEquals(1, rig.control.volumesKnown());
    }

    @Test void aTimerThatARoundingClockFiresALittleEarlyIsFollowedByTheNext() {
        ControlHarness rig = ControlHarness.ready();
        rig.list(ControlHarness.node("n0", 0, EndpointState.DRAINING, 0));
        rig.ask("a", "write", "free", "v", 1, 0);
        double timer = Double.NaN;
        while (rig.answered().isEmpty() && rig.now < 60_000) {
            double next = rig.actions.stream().filter(a -> a instanceof SetTimer).mapToDouble(a -> ((SetTimer) a).at())
                .filter(at -> at > rig.now).min().orElse(Double.NaN);
            assertTrue(next > 0, "no timer is set after the one at " + timer + ", and the request waits for one");
            timer = next;
            rig.now = next - 0.0002;
            rig.tell(new TimerFired("wake"));
            rig.now = Math.max(rig.now, next);
        }
        assertEquals(List.of("refused a"), rig.answered());
    }

    @Test void anAnswerThatIsSurelyLostHoldsNoPlaceAtTheNodeButASecondDoes() {
        ControlHarness rig = ControlHarness.ready();
        for (int i = 0; i < 12; i++) {         // the node answers in 20 ms, one request at a time
            rig.ask("w" + i, "read", "free", "v" + i, 1, 0);
            rig.pass(rig.now + 20);
            rig.finish("w" + i, 20);
        }
        for (int i = 0; i < 4; i++) {          // then slowly, until its window is down to one
            rig.ask("s" + i, "write", "free", "s" + i, 1, 0);
            rig.pass(rig.now + 150);
            rig.finish("s" + i, 150);
        }
        rig.ask("lost", "write", "free", "v", 1, 0);
        int out = rig.sent().size();
        rig.pass(rig.now + 50);
        rig.ask("early", "read", "free", "e", 1, 0);
        assertEquals(out, rig.sent().size(), "silence that may still end holds all else back");
        rig.pass(rig.now + 800);
        for (int i = 0; i < 3; i++) {
            rig.ask("after" + i, "read", "free", "a" + i, 1, 0);
        }
        assertEquals(out + 1, rig.sent().size(), "one more goes out, and none beside that");
        assertTrue(rig.answered().stream().noneMatch(a -> a.contains("after0")), "it is not refused for the lost one");
    }

    @Test void anAnswerThatHasBegunHoldsNoPlaceAtTheNode() {
        ControlHarness rig = ControlHarness.ready();
        for (int i = 0; i < 3; i++) {
            rig.ask("r" + i, "read", "free", "v" + i, 1, 0);
        }
        rig.ask("more", "read", "free", "m", 1, 0);
        assertEquals(List.of("r0", "r1", "r2"), rig.sent());
        rig.tell(new ResponseStarted("r1", 0));
        assertEquals(List.of("r0", "r1", "r2", "more"), rig.sent());
        rig.pass(rig.now + 5_000);
        assertTrue(rig.answered().stream().noneMatch(a -> a.endsWith(" r1")), "no deadline runs for what flows");
        rig.tell(new ShutdownStarted(rig.now + 100));
        rig.pass(rig.now + 100);
        assertTrue(rig.answered().stream().anyMatch(a -> a.endsWith(" r1")), "but it ends with the instance");
    }

    @Test void repeatsAtANodeAreAtMostTheirShareOfItsFirstTriesAndTheRestIsAnsweredAtOnce() {
        ControlHarness rig = ControlHarness.ready();
        rig.tell(new RetryBudgetChanged(0.1, 10_000));
        for (int i = 0; i < 25; i++) {
            rig.ask("r" + i, "read", "free", "v" + i, 1, 0);
            rig.now += 20;
            rig.finish("r" + i, 20);
        }
        for (int i = 0; i < 4; i++) {          // of 26 to 29 first tries a tenth are two repeats
            rig.ask("e" + i, "read", "free", "e" + i, 1, 0);
            rig.now += 10;
            rig.end("e" + i, AttemptOutcome.ERROR, 10);
            rig.pass(rig.now + 100);
            assertEquals(i < 2 ? 2 : 1, rig.tries.get("e" + i), "tries of e" + i);
            if (i < 2) rig.finish("e" + i, 20);
            else
                assertTrue(rig.answered().contains("refused e" + i));
        }
        rig.now += 10_100;
        rig.ask("later", "read", "free", "l", 1, 0);
        rig.end("later", AttemptOutcome.ERROR, 10);
        assertTrue(rig.answered().contains("refused later"), "the first tries have faded with the span");
    }

    @Test void retriesThatClientsMarkAreRepeatsOfTheirNodeToo() {
        ControlHarness rig = ControlHarness.ready();
        rig.tell(new RetryBudgetChanged(0.1, 10_000));
        for (int i = 0; i < 20; i++) {
            rig.ask("r" + i, "read", "free", "v" + i, 1, 0);
            rig.now += 20;
            rig.finish("r" + i, 20);
        }
        for (int i = 0; i < 4; i++) {
            rig.tell(new RequestArrived("a" + i, "read", "free", null, rig.now + 2_000, "a" + i, 1, 0, 1, true));
            if (i < 2) rig.finish("a" + i, 20);
        }
        assertEquals(List.of("refused a2", "refused a3"), rig.answered(), "at once: a tenth of twenty are out already");
        rig.ask("e", "read", "free", "e", 1, 0);
        rig.end("e", AttemptOutcome.ERROR, 10);
        assertEquals(List.of("refused a2", "refused a3", "refused e"), rig.answered(), "one budget for both");
        rig.tell(new RequestArrived("other", "read", "free", null, rig.now + 2_000, "o", 1, 1, 1, true));
        assertTrue(rig.answered().contains("refused other"), "another node has its own, and no first tries yet");
    }

    @Test void oneConnectionThatIsResetIsNotTheEndOfTheNodeButTwoOrARefusalAre() {
        ControlHarness rig = ControlHarness.ready();
        for (int i = 0; i < 4; i++) {          // each reset is followed by an answer
            rig.ask("r" + i, "write", "free", "v" + i, 1, 0);
            rig.now += 10;
            rig.end("r" + i, AttemptOutcome.RESET, 10);
            rig.ask("s" + i, "write", "free", "s" + i, 1, 0);
            assertTrue(rig.sent().contains("s" + i), "goes out at once after a reset");
            rig.now += 10;
            rig.finish("s" + i, 10);
            assertEquals(java.util.Set.of(), rig.control.unresponsiveNodes().keySet());
        }
        rig.now += 10;
        for (int i = 0; i < 2; i++) {
            rig.ask("two" + i, "write", "free", "t" + i, 1, 0);
            rig.now += 10;
            rig.end("two" + i, AttemptOutcome.RESET, 10);
        }
        assertEquals(java.util.Set.of("n0"), rig.control.unresponsiveNodes().keySet());
        rig.ask("gone", "write", "free", "g", 1, 1);
        rig.end("gone", AttemptOutcome.CONNECT_FAILED, 1);
        assertEquals(java.util.Set.of("n0", "n1"), rig.control.unresponsiveNodes().keySet(),
            "a refused connection says it at once");
    }
}
