package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.RetryBudgetChanged;
import org.junit.jupiter.api.Test;

/** Retries: which requests, at which nodes and how often. */
class RetryTest {
    @Test void aPossiblyExecutedWriteFailsWithoutRetry() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.request("w", "write", "free", "v", 1, 0);
        scheduler.end("w", AttemptOutcome.ERROR, 5);
        assertEquals(List.of("failed w"), scheduler.answered());
        assertEquals(List.of("w"), scheduler.sent());
    }

    @Test void aWriteThatWasNotExecutedIsRetried() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.request("w", "write", "free", "v", 1, 0);
        scheduler.end("w", AttemptOutcome.AT_CAPACITY, 5);
        scheduler.advanceTo(scheduler.now + 1500);
        assertEquals(2, scheduler.attempts.get("w"));
        assertTrue(scheduler.answered().isEmpty());
    }

    @Test void aKeyedNewObjectIsRetriedOnlyInItsCell() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.request("k", "keyed", "free", "v", 1, -1);
        String first = scheduler.nodeOf("k");
        scheduler.end("k", AttemptOutcome.RESET, 5);
        scheduler.advanceTo(scheduler.now + 1500);
        assertEquals(2, scheduler.attempts.get("k"));
        assertEquals(first, scheduler.nodeOf("k"));
    }

    @Test void aKeyedRequestIsRetriedWithinItsWindowAndNeverAfter() {
        for (double gone : new double[] {3_000, 3_990}) {
            ControlHarness scheduler = ControlHarness.ready();
            scheduler.request("k", "keyed", "free", "v", 1, 0, "chunk", scheduler.now + 20_000, 1);
            scheduler.advanceTo(scheduler.now + gone);
            scheduler.end("k", AttemptOutcome.RESET, gone);             // possibly executed; nodes drop its key at 4,000 ms
            scheduler.advanceTo(scheduler.now + 500);
            assertEquals(gone < 3_900 ? 2 : 1, scheduler.sent().size(), "reset after " + gone);
            if (gone > 3_900) {
                assertEquals(List.of("failed k"), scheduler.answered(),
                    "a rejection would tell the client that a retry is safe");
            }
        }
    }

    @Test void retriesStayWithinTheBudget() {
        ControlHarness scheduler = ControlHarness.ready();
        for (int i = 0; i < 12; i++) {
            scheduler.request("r" + i, "read", "free", "v" + i, 1, i % 2, null, scheduler.now + 4000, 1);
        }
        for (int step = 0; step < 700; step++) {
            scheduler.advanceTo(scheduler.now + 5);
            for (String id : List.copyOf(scheduler.sent())) {
                if (!scheduler.hasEnded(id)) {
                    scheduler.fail(id);
                }
            }
        }
        int further = scheduler.sent().size() - scheduler.attempts.size();
        assertTrue(further > 0, "some requests are retried");
        assertTrue(further <= 3 + 0.1 * 12, further + " retries");
    }

    @Test void aReadWhoseAnswerIsLostIsRetriedWithinItsObjective() {
        ControlHarness scheduler = ControlHarness.ready();
        for (int i = 0; i < 30; i++) {
            scheduler.request("s" + i, "read", "free", "v" + i, 1, 0);
            scheduler.now += 20;
            scheduler.serve("s" + i, 20);
        }
        double asked = scheduler.now;
        List<ControlAction> got = scheduler.request("lost", "read", "free", "v", 1, 0);
        SendAttempt send = (SendAttempt) got.stream().filter(a -> a instanceof SendAttempt).findFirst().orElseThrow();
        assertTrue(send.timeout() > 60 && send.timeout() < 300, "timeout " + send.timeout());
        scheduler.now = asked + send.timeout();
        scheduler.end("lost", AttemptOutcome.TIMED_OUT, send.timeout());
        assertEquals(2, scheduler.attempts.get("lost"));
        assertTrue(scheduler.now < asked + 300);
        scheduler.request("unsafe", "write", "free", "v", 1, 0);
        assertEquals(1, scheduler.attempts.get("unsafe"));
    }

    @Test void retriesBeyondTheBudgetOfANodeAreRejectedAtOnce() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.on(new RetryBudgetChanged(0.1, 10_000));
        for (int i = 0; i < 25; i++) {
            scheduler.request("r" + i, "read", "free", "v" + i, 1, 0);
            scheduler.now += 20;
            scheduler.serve("r" + i, 20);
        }
        for (int i = 0; i < 4; i++) {          // a tenth of 26 to 29 first attempts are two retries
            scheduler.request("e" + i, "read", "free", "e" + i, 1, 0);
            scheduler.now += 10;
            scheduler.end("e" + i, AttemptOutcome.ERROR, 10);
            scheduler.advanceTo(scheduler.now + 100);
            assertEquals(i < 2 ? 2 : 1, scheduler.attempts.get("e" + i), "attempts of e" + i);
            if (i < 2) {
                scheduler.serve("e" + i, 20);
            } else {
                assertTrue(scheduler.answered().contains("rejected e" + i));
            }
        }
        scheduler.now += 10_100;
        scheduler.request("later", "read", "free", "l", 1, 0);
        scheduler.end("later", AttemptOutcome.ERROR, 10);
        assertTrue(scheduler.answered().contains("rejected later"), "the first attempts have left the window");
    }

    @Test void retriesMarkedByClientsCountInTheBudgetOfTheirNode() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.on(new RetryBudgetChanged(0.1, 10_000));
        for (int i = 0; i < 20; i++) {
            scheduler.request("r" + i, "read", "free", "v" + i, 1, 0);
            scheduler.now += 20;
            scheduler.serve("r" + i, 20);
        }
        for (int i = 0; i < 4; i++) {
            scheduler.on(new RequestArrived("a" + i, "read", "free", null, scheduler.now + 2_000, "a" + i, 1, 0, 1, true));
            if (i < 2) {
                scheduler.serve("a" + i, 20);
            }
        }
        assertEquals(List.of("rejected a2", "rejected a3"), scheduler.answered(),
            "rejected at once, as two retries per twenty first attempts are used up");
        scheduler.request("e", "read", "free", "e", 1, 0);
        scheduler.end("e", AttemptOutcome.ERROR, 10);
        assertEquals(List.of("rejected a2", "rejected a3", "rejected e"), scheduler.answered(),
            "retries of clients and of the instance share one budget");
        scheduler.on(new RequestArrived("other", "read", "free", null, scheduler.now + 2_000, "o", 1, 1, 1, true));
        assertTrue(scheduler.answered().contains("rejected other"),
            "another node has its own budget, without first attempts so far");
    }
}
