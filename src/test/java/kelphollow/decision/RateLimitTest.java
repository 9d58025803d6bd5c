package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static kelphollow.decision.ControlHarness.healthy;

import java.util.List;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings.Plan;
import org.junit.jupiter.api.Test;

/** Rate limits across several instances and restarts. */
class RateLimitTest {
    @Test void retryAfterIsTheTimeUntilTheLimitHoldsTheUnits() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.request("a", "read", "limited", "v", 15, 0);      // 4.5 borrowed from the slack; refills at 20 per second
        assertEquals(List.of("rejected a"), scheduler.answered());
        double wait = (10.5 + 10.5 / 3) / 20 * 1000;      // a quarter of the refill repays borrowed tokens
        RejectRequest rejected = new RejectRequest("a", wait, Reason.RATE_LIMITED);
        assertTrue(scheduler.actions.contains(rejected), scheduler.actions.toString());
    }

    /**
     * Compares the sends of two instances, which use all they may and are killed together twice, with a reference bucket of
     * the limit.
     */
    @Test void simultaneousRestartsOverrunALimitByAtMostItsSlack() {
        Plan plan = ControlHarness.LIMITED;
        double now = 50_000;
        double tokens = plan.limitBurst();
        double least = tokens;
        int first = 0;
        for (int process = 0; process < 3; process++) {
            ControlHarness[] hosts = {new ControlHarness(false, now), new ControlHarness(false, now)};
            for (ControlHarness h : hosts) {
                h.endpoints(healthy("n0", 0), healthy("n1", 1));
            }
            for (int i = 0; i < 800; i++) {
                for (ControlHarness h : hosts) {
                    h.now = now;
                    int before = h.sent().size();
                    h.request("l" + i, "read", "limited", "v", 1, i % 2, null, now + 2000, 2);
                    h.sent().stream().filter(l -> !h.hasEnded(l)).forEach(l -> h.serve(l, 20));
                    tokens -= h.sent().size() - before;
                }
                if (process == 1 && i == 0) {
                    first = hosts[0].sent().size();
                }
                least = Math.min(least, tokens);
                now += 5;
                tokens = Math.min(plan.limitBurst(), tokens + plan.limitRate() / 200);
            }
        }
        assertTrue(least >= -plan.limitSlack(), "the bucket fell to " + least);
        assertTrue(first > 0, "a restarted instance can serve its first request");
    }

    @Test void handedOverTokensExcludeThoseNotYetRepaid() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.request("a", "read", "limited", "v", 2, 0);       // 4.5 borrowed, 2 consumed
        assertEquals(-2.0, scheduler.control.limitTokens().get("v"), 1e-9,
            "the next process must not keep the borrowed tokens");
    }

    @Test void aLimitRefillsFromTheStartOfTheProcess() {
        Control c = new Control(ControlHarness.settings(false, ControlHarness.RULES), 1, 49_600);   // 8 units at 20 a second
        c.on(50_000, new RequestArrived("a", "read", "limited", null, 52_000, "v", 1, 0, 1));
        assertEquals(8.0, c.limitTokens().get("v"), 1e-9, "borrowed tokens included, those not yet repaid deducted");
    }

    @Test void anInstanceKeepsItsEvenShareOfALimitAndStartsWithBorrowedTokens() {
        ControlHarness scheduler = ControlHarness.ready();   // burst 24 and 20 units per second over two instances
        double start = scheduler.now;
        double sent = 0;
        for (int i = 0; i < 400; i++) {
            scheduler.now += 5;
            scheduler.request("l" + i, "read", "limited", "v", 1, i % 2, null, scheduler.now + 2000, 2);
            scheduler.sent().stream().filter(l -> !scheduler.hasEnded(l)).forEach(l -> scheduler.serve(l, 20));
            sent = scheduler.sent().size();
            assertTrue(sent <= 2.25 + (scheduler.now - start) / 100 + 0.001, sent + " units at " + (scheduler.now - start));
        }
        assertTrue(sent > 8, "the share is used: " + sent);
    }

    /** The number of instances in a volume's requests can grow or shrink: the latest number applies. */
    @Test void theShareOfALimitFollowsTheLatestNumberOfInstances() {
        for (int[] counts : new int[][] {{1, 4}, {4, 1}, {2, 4}, {4, 2}}) {
            ControlHarness scheduler = ControlHarness.ready();
            scheduler.request("first", "read", "limited", "v", 0, 0, null, scheduler.now + 2000, counts[0]);
            for (int i = 0; i < 400; i++) {
                scheduler.now += 5;
                scheduler.request("l" + i, "read", "limited", "v", 1, i % 2, null, scheduler.now + 2000, counts[1]);
                scheduler.sent().stream().filter(l -> !scheduler.hasEnded(l)).forEach(l -> scheduler.serve(l, 20));
            }
            double first = ControlHarness.LIMITED.limitSlack() / counts[0];
            double share = 2 * ControlHarness.LIMITED.limitRate() / counts[1];
            String counted = counts[0] + " hosts, then " + counts[1] + ": " + scheduler.sent().size();
            assertTrue(scheduler.sent().size() <= 1 + first + share, counted);
            assertTrue(scheduler.sent().size() >= 0.6 * share, counted);
        }
    }

    /**
     * Instances join and leave under load, and each learns the new number only from its own next request: their sum must
     * stay within the limit.
     */
    @Test void theSumOfSharesStaysWithinALimitWhileTheNumberOfInstancesChanges() {
        Plan plan = ControlHarness.LIMITED;
        ControlHarness[] hosts = new ControlHarness[6];
        double now = 50_000;
        double tokens = plan.limitBurst();
        double least = tokens;
        int sent = 0;
        for (int step = 0; step < 1_500; step++) {
            int count = new int[] {2, 6, 1, 4, 2, 3}[step / 250];
            for (int h = 0; h < count; h++) {
                if (hosts[h] == null) {
                    hosts[h] = new ControlHarness(false, now);
                    hosts[h].endpoints(healthy("n0", 0), healthy("n1", 1));
                }
                ControlHarness host = hosts[h];
                host.now = now;
                int before = host.sent().size();
                boolean idle = step % 250 < 75;     // lets the buckets refill before the next burst
                if (!idle) {
                    host.request("l" + step, "read", "limited", "v", 1, step % 2, null, now + 2000, count);
                    host.sent().stream().filter(l -> !host.hasEnded(l)).forEach(l -> host.serve(l, 20));
                }
                tokens -= host.sent().size() - before;
                sent += host.sent().size() - before;
            }
            least = Math.min(least, tokens);
            now += 20;
            tokens = Math.min(plan.limitBurst(), tokens + plan.limitRate() / 50);
        }
        assertTrue(least >= -plan.limitSlack(), "the bucket fell to " + least);
        assertTrue(sent > 0.5 * plan.limitRate() * 30, "the limit is used: " + sent);
    }
}
