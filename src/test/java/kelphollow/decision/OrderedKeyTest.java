package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.decision.ControlAction.CancelAttempt;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.ClientDisconnected;
import org.junit.jupiter.api.Test;

/** Requests with the same key in an ordered class. */
class OrderedKeyTest {
    @Test void oneRequestPerOrderedKeyIsSentAndTheKeyRestsAfterAnUnknownOutcome() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.request("t1", "ordered", "free", "v", 1, 0, "k", scheduler.now + 2500, 1);
        scheduler.request("t2", "ordered", "free", "v", 1, 0, "k", scheduler.now + 2500, 1);
        scheduler.request("x", "ordered", "free", "v", 1, 0, "other", scheduler.now + 2500, 1);
        assertEquals(List.of("t1", "x"), scheduler.sent());
        scheduler.end("x", AttemptOutcome.SERVED, 5);
        double at = scheduler.now;
        scheduler.end("t1", AttemptOutcome.RESET, 5);
        scheduler.advanceTo(at + 199);
        assertEquals(List.of("t1", "x"), scheduler.sent());
        scheduler.advanceTo(at + 1300);
        assertEquals(List.of("t1", "x", "t2"), scheduler.sent());
    }

    @Test void anOrderedKeyWaitsForTheAttemptOfADisconnectedClient() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.request("t1", "ordered", "free", "v", 1, 0, "k", scheduler.now + 2500, 1);
        scheduler.request("t2", "ordered", "free", "v", 1, 0, "k", scheduler.now + 2500, 1);
        scheduler.on(new ClientDisconnected("t1"));
        scheduler.advanceTo(scheduler.now + 100);
        assertTrue(scheduler.actions.contains(new CancelAttempt("t1", 0)), "its client has disconnected");
        assertEquals(List.of("t1"), scheduler.sent());
        double at = scheduler.now;
        scheduler.end("t1", AttemptOutcome.CANCELLED, 100);
        scheduler.advanceTo(at + 199);
        assertEquals(List.of("t1"), scheduler.sent());
        scheduler.advanceTo(at + 1200);
        assertEquals(List.of("t1", "t2"), scheduler.sent());
    }
}
