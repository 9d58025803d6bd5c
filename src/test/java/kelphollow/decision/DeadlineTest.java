package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static kelphollow.decision.ControlHarness.node;

import java.util.List;
import java.util.Set;
import kelphollow.decision.ControlAction.CancelAttempt;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlAction.SetTimer;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.ClientDisconnected;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.ShutdownStarted;
import kelphollow.decision.ControlEvent.TimerFired;
import org.junit.jupiter.api.Test;

/** Every request is answered exactly once, in time, and with a Retry-After if a retry is safe. */
class DeadlineTest {
    @Test void everyQueuedRequestIsAnsweredByTimersAlone() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.endpoints(node("n0", 0, EndpointState.DRAINING, 0));
        scheduler.request("a", "read", "free", "v", 1, 0);
        scheduler.request("b", "write", "free", "v", 1, 0);
        scheduler.advanceTo(scheduler.now + 1999);
        assertEquals(List.of("rejected a", "rejected b"), scheduler.answered());
    }

    /** A request that missed its objective must not stay queued until its deadline: its client has no time to retry then. */
    @Test void unsentRequestThatMissesItsObjectiveIsRejectedAtOnceWithRetryAfter() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.endpoints(node("n0", 0, EndpointState.DRAINING, 0));
        scheduler.request("a", "read", "free", "v", 1, 0);
        scheduler.advanceTo(scheduler.now + 295);
        assertEquals(List.of(), scheduler.answered(), "it may still meet its latency objective");
        scheduler.advanceTo(scheduler.now + 10);
        RejectRequest longest = new RejectRequest("a", 1000, Reason.LOAD_SHED);
        assertTrue(scheduler.actions.contains(longest), "its node accepts nothing: the maximum Retry-After");
    }

    /** A client's retry must not displace a first attempt: its objective, counted from its first attempt, has passed. */
    @Test void clientRetryIsRecognisedByItsShorterDeadline() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.fill();
        scheduler.request("again", "read", "free", "v1", 1, 0, null, scheduler.now + 1500, 1);
        scheduler.request("first", "read", "free", "v2", 1, 0);
        scheduler.end("fill0", AttemptOutcome.SERVED, 20);
        scheduler.end("fill1", AttemptOutcome.SERVED, 20);
        assertTrue(scheduler.sent().contains("first"));
        assertFalse(scheduler.sent().contains("again"), "only sent to an idle node");
        scheduler.advanceTo(scheduler.now + 1000);
        assertEquals(List.of("rejected again"), scheduler.answered(), "rejected before half of its time has passed");
    }

    @Test void attemptThatStaysInFlightGetsExactlyOneAnswer() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.request("a", "write", "free", "v", 1, 0);
        scheduler.advanceTo(scheduler.now + 2499);
        assertEquals(List.of("failed a"), scheduler.answered());
        assertTrue(scheduler.actions.contains(new CancelAttempt("a", 0)));
        scheduler.end("a", AttemptOutcome.CANCELLED, 2000);            // late event of an answered request
        scheduler.on(new ClientDisconnected("a"));
        assertEquals(1, scheduler.answered().size());
        assertEquals(List.of("a"), scheduler.sent());
    }

    /** Prevents nodes from working for clients that leave before the answer. */
    @Test void requestThatCannotCompleteBeforeItsDeadlineIsNotSent() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.request("seen", "read", "free", "v", 1, 0);
        scheduler.now += 100;
        scheduler.end("seen", AttemptOutcome.SERVED, 100);
        scheduler.request("brief", "read", "free", "v", 2, 0, null, scheduler.now + 30, 1);
        scheduler.advanceTo(scheduler.now + 29);
        assertEquals(List.of("seen"), scheduler.sent());
        assertEquals(List.of("rejected brief"), scheduler.answered());
    }

    /** No request may stay open at a shutdown, whether it arrived before or after the shutdown was announced. */
    @Test void openRequestsAreAnsweredBeforeShutdown() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.request("before", "write", "free", "v", 1, 0);
        scheduler.on(new ShutdownStarted(scheduler.now + 500));
        scheduler.now += 100;
        scheduler.request("after", "read", "free", "v", 1, 0);
        scheduler.advanceTo(scheduler.now + 399);
        assertEquals(List.of(), scheduler.answered());
        scheduler.advanceTo(scheduler.now + 5);
        assertEquals(Set.of("failed before", "rejected after"), Set.copyOf(scheduler.answered()));
    }

    @Test void timerFiredEarlyByARoundingClockIsFollowedByTheNext() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.endpoints(node("n0", 0, EndpointState.DRAINING, 0));
        scheduler.request("a", "write", "free", "v", 1, 0);
        double timer = Double.NaN;
        while (scheduler.answered().isEmpty() && scheduler.now < 60_000) {
            double next = scheduler.actions.stream().filter(a -> a instanceof SetTimer).mapToDouble(a -> ((SetTimer) a).at())
                .filter(at -> at > scheduler.now).min().orElse(Double.NaN);
            assertTrue(next > 0, "no timer is set after the one at " + timer + " while a request waits for one");
            timer = next;
            scheduler.now = next - 0.0002;
            scheduler.on(new TimerFired("wake"));
            scheduler.now = Math.max(scheduler.now, next);
        }
        assertEquals(List.of("rejected a"), scheduler.answered());
    }
}
