package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static kelphollow.decision.ControlHarness.healthy;

import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings.Plan;
import org.junit.jupiter.api.Test;

/** The order in which requests are sent according to their arrival-curve tags. */
class ArrivalCurveTest {
    @Test void volumeWithinItsCurveIsSentBeforeOneBeyondIt() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.fill();
        scheduler.request("hot0", "read", "free", "hot", 11, 0);   // uses the whole depth of 10, tokens become negative
        scheduler.request("hot1", "read", "free", "hot", 1, 0);    // first one beyond the curve: starts at MaxS
        scheduler.request("hot2", "read", "free", "hot", 1, 0);    // starts 100 ms later
        scheduler.now += 1;
        scheduler.request("calm", "read", "free", "calm", 1, 0);
        scheduler.end("fill0", AttemptOutcome.SERVED, 20);
        scheduler.end("fill1", AttemptOutcome.SERVED, 20);
        scheduler.end("fill2", AttemptOutcome.SERVED, 20);
        List<String> sent = scheduler.sent();
        assertTrue(sent.indexOf("calm") >= 0 && sent.indexOf("hot2") < 0 || sent.indexOf("calm") < sent.indexOf("hot2"));
    }

    @Test void smallestFinishTagIsSentFirstAcrossClasses() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.fill();
        scheduler.request("w", "write", "free", "v1", 1, 0);       // finish at +400
        scheduler.request("r", "read", "free", "v2", 1, 0);        // finish at +300
        scheduler.end("fill0", AttemptOutcome.SERVED, 20);
        assertTrue(scheduler.sent().contains("r"));
        assertTrue(!scheduler.sent().contains("w") || scheduler.sent().indexOf("r") < scheduler.sent().indexOf("w"));
    }

    @Test void tagShiftLetsALoneHotVolumeCompeteWithALaterOne() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.fill();
        scheduler.request("burst", "read", "free", "hot", 30, 0);
        scheduler.end("fill0", AttemptOutcome.SERVED, 20);            // the burst is sent; 20 tokens below zero
        scheduler.request("h1", "read", "free", "hot", 4, 0);      // starts now, MaxS is 400 ms later
        scheduler.request("h2", "read", "free", "hot", 4, 0);      // starts at +400
        scheduler.request("h3", "read", "free", "hot", 4, 0);      // starts at +800
        scheduler.end("fill1", AttemptOutcome.SERVED, 20);
        scheduler.end("fill2", AttemptOutcome.SERVED, 20);
        scheduler.now += 1;
        int before = scheduler.sent().size();
        scheduler.request("late", "write", "free", "calm", 1, 0);  // finishes at +400; h2 and h3 later without the shift
        scheduler.end("burst", AttemptOutcome.SERVED, 20);
        scheduler.end("h1", AttemptOutcome.SERVED, 20);
        assertTrue(scheduler.sent().size() > before);
        assertTrue(scheduler.sent().containsAll(List.of("h1", "h2", "h3", "late")));
    }

    @Test void expiredRequestsReturnTheirTokens() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.fill();
        for (int i = 0; i < 40; i++) {
            scheduler.request("expired" + i, "read", "free", "hot", 5, 0);
        }
        scheduler.advanceTo(scheduler.now + 310);                          // all of them miss their latency objective
        scheduler.request("other", "write", "free", "calm", 1, 0);
        scheduler.request("later", "read", "free", "hot", 1, 0);    // must not wait behind 200 units of expired requests
        scheduler.end("fill0", AttemptOutcome.SERVED, 20);
        assertTrue(scheduler.sent().contains("later"));
    }

    @Test void plansWithoutReserveOrLimitOrBothServeRequests() {
        for (Plan plan : List.of(new Plan("p", 10, 0, 1, 1, 20, 24, 6), new Plan("p", 10, 12, 1, 1, 0, 0, 0),
            new Plan("p", 10, 0, 1, 1, 0, 0, 0))) {
            ControlSettings s = ControlHarness.settings(false, ControlHarness.RULES);
            Control control = new Control(new ControlSettings(0, 2, "a", 1, 4, 10_000, true, false, 1000, 2, 0.4, 0.05, s
                .classes(),
                List.of(plan), s.rules()), 7, 0);
            control.start();
            control.on(10_000, new EndpointsReceived(List.of(healthy("n0", 0)), true,
                false));
            for (int i = 0; i < 40; i++) {                  // four times the plan's rate, each answered after 10 ms
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

    @Test void shareSmallerThanOneRequestStillFollowsItsCurve() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.fill();
        scheduler.request("hot0", "read", "free", "hot", 6, 0, null, scheduler.now + 2000, 20);   // rate 0.5 units/s here
        scheduler.request("hot1", "read", "free", "hot", 6, 0, null, scheduler.now + 2000, 20);
        scheduler.request("calm", "read", "free", "calm", 2, 0, null, scheduler.now + 2000, 20);   // must start now
        scheduler.now += 1;
        scheduler.request("write", "write", "free", "other", 2, 0);
        for (int i = 0; i < 3; i++) {
            scheduler.end("fill" + i, AttemptOutcome.SERVED, 20);
        }
        assertTrue(scheduler.sent().contains("calm"));
        List<String> sent = scheduler.sent();
        assertTrue(!sent.contains("write") || sent.indexOf("calm") < sent.indexOf("write"));
    }
}
