package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.ResponseStarted;
import kelphollow.decision.ControlEvent.ShutdownStarted;
import org.junit.jupiter.api.Test;

/** Number of concurrent requests sent to a node, by its latency and its requests in flight. */
class NodeLoadTest {
    @Test void theWindowShrinksAsLatencyGrowsAndStaysBelowTheCeiling() {
        ControlHarness fast = ControlHarness.ready();
        int most = flood(fast, 20);
        ControlHarness slow = ControlHarness.ready();
        int few = flood(slow, 900);
        assertTrue(most > few, most + " against " + few);
        assertTrue(most <= 32);
        assertTrue(few <= 1, "at most one request; a window below one only limits the rate");
    }

    /** Serves a constant backlog at the given latency and returns the requests in flight at the end. */
    private static int flood(ControlHarness scheduler, double latency) {
        int id = 0;
        int out = 0;
        for (int round = 0; round < 300; round++) {
            while (id < 40 * (round + 1)) {
                scheduler.request("q" + id, "read", "free", "v" + id % 50, 1, 0, null, scheduler.now + 60_000, 1);
                id++;
            }
            List<String> inFlight = scheduler.sent().stream().filter(s -> !scheduler.hasEnded(s)).toList();
            scheduler.now += latency;
            inFlight.forEach(s -> scheduler.serve(s, latency));
            out = (int) scheduler.sent().stream().filter(s -> !scheduler.hasEnded(s)).count();
            if (round % 20 == 0) {
                scheduler.forgetEnded();
            }
        }
        return out;
    }

    @Test void newObjectsAvoidAStalledNode() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.request("stuck", "write", "free", "v", 1, 0);    // a single unanswered attempt may be lost, two are not
        scheduler.request("too", "write", "free", "v", 1, 0);
        scheduler.advanceTo(scheduler.now + 900);
        for (int i = 0; i < 3; i++) {
            scheduler.request("w" + i, "write", "free", "v", 1, -1);
            assertEquals("n1", scheduler.nodeOf("w" + i));
        }
    }

    @Test void decisionsAreDeterministic() {
        List<List<ControlAction>> runs = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            ControlHarness scheduler = ControlHarness.ready();
            flood(scheduler, 40);
            runs.add(List.copyOf(scheduler.actions));
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    /** Guards against late requests that take every second slot of a busy node. */
    @Test void aLateRequestWaitsUntilTheNodeHasBeenIdle() {
        ControlHarness scheduler = ControlHarness.ready();
        int filled = scheduler.fill();
        scheduler.request("queued", "read", "free", "v", 1, 0);
        scheduler.advanceTo(scheduler.now + 320);                          // its objective is missed
        double at = scheduler.now;
        for (int i = 0; i < filled; i++) {
            scheduler.end("fill" + i, AttemptOutcome.SERVED, 320);
        }
        assertFalse(scheduler.sent().contains("queued"));
        scheduler.advanceTo(at + 100);
        assertFalse(scheduler.sent().contains("queued"));
    }

    @Test void oneLostAnswerFreesItsSlotForOneFurtherRequest() {
        ControlHarness scheduler = ControlHarness.ready();
        for (int i = 0; i < 12; i++) {         // the node answers in 20 ms, one request at a time
            scheduler.request("w" + i, "read", "free", "v" + i, 1, 0);
            scheduler.advanceTo(scheduler.now + 20);
            scheduler.serve("w" + i, 20);
        }
        for (int i = 0; i < 4; i++) {          // then in 150 ms, until its window has shrunk to one
            scheduler.request("s" + i, "write", "free", "s" + i, 1, 0);
            scheduler.advanceTo(scheduler.now + 150);
            scheduler.serve("s" + i, 150);
        }
        scheduler.request("lost", "write", "free", "v", 1, 0);
        int out = scheduler.sent().size();
        scheduler.advanceTo(scheduler.now + 50);
        scheduler.request("early", "read", "free", "e", 1, 0);
        assertEquals(out, scheduler.sent().size(), "while the answer may still come, further requests stay queued");
        scheduler.advanceTo(scheduler.now + 800);
        for (int i = 0; i < 3; i++) {
            scheduler.request("after" + i, "read", "free", "a" + i, 1, 0);
        }
        assertEquals(out + 1, scheduler.sent().size(), "exactly one more request is sent");
        assertTrue(scheduler.answered().stream().noneMatch(a -> a.contains("after0")),
            "a request queued behind a lost answer is not rejected");
    }

    @Test void aStreamedResponseThatHasStartedOccupiesNoSlot() {
        ControlHarness scheduler = ControlHarness.ready();
        for (int i = 0; i < 3; i++) {
            scheduler.request("r" + i, "read", "free", "v" + i, 1, 0);
        }
        scheduler.request("more", "read", "free", "m", 1, 0);
        assertEquals(List.of("r0", "r1", "r2"), scheduler.sent());
        scheduler.on(new ResponseStarted("r1", 0));
        assertEquals(List.of("r0", "r1", "r2", "more"), scheduler.sent());
        scheduler.advanceTo(scheduler.now + 5_000);
        assertTrue(scheduler.answered().stream().noneMatch(a -> a.endsWith(" r1")), "a started response has no deadline");
        scheduler.on(new ShutdownStarted(scheduler.now + 100));
        scheduler.advanceTo(scheduler.now + 100);
        assertTrue(scheduler.answered().stream().anyMatch(a -> a.endsWith(" r1")), "a shutdown ends it");
    }
}
