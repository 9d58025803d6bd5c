package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static kelphollow.decision.ControlHarness.healthy;
import static kelphollow.decision.ControlHarness.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.LimitsHandedOver;
import kelphollow.decision.ControlEvent.PredecessorReplaced;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings.Rules;
import org.junit.jupiter.api.Test;

/** Requests sent to a node that has just started. */
class WarmingUpNodeTest {
    @Test void anInstanceSendsOnlyItsShareToANodeInSlowStart() {
        ControlHarness scheduler = new ControlHarness(false, 50_000);
        scheduler.on(new EndpointsReceived(List.of(node("n0", 0, EndpointState.HEALTHY, 49_990)), true, true));
        for (int i = 0; i < 20; i++) {
            scheduler.request("r" + i, "read", "free", "v" + i, 1, 0);
            if (scheduler.attempts.containsKey("r" + i)) {
                scheduler.end("r" + i, AttemptOutcome.SERVED, 5);
            }
        }
        assertEquals(3, scheduler.sent().size());               // 6 units for two instances
        scheduler.advanceTo(scheduler.now + 900);
        assertTrue(scheduler.sent().size() <= 4, "still within one span");
    }

    /** Guards against nodes that stay nearly idle after a rollout, as a quota of one unit per instance admits no request. */
    @Test void theBestLatencyOfOtherNodesRaisesTheQuotaInSlowStart() {
        ControlHarness scheduler = ControlHarness.ready();
        for (int i = 0; i < 10; i++) {
            scheduler.request("w" + i, "read", "free", "v" + i, 2, 1);
            scheduler.now += 50;
            scheduler.serve("w" + i, 50);
        }
        scheduler.endpoints(node("n0", 0, EndpointState.HEALTHY, scheduler.now), healthy("n1", 1));
        int before = scheduler.sent().size();
        for (int i = 0; i < 20; i++) {                    // 2 x 1000 x 2 / 50 x 0.25 / 2 instances = 10 units
            scheduler.request("c" + i, "read", "free", "u" + i, 2, 0);
            if (scheduler.attempts.containsKey("c" + i)) {
                scheduler.serve("c" + i, 50);
            }
        }
        assertEquals(5, scheduler.sent().size() - before);
    }

    /** With 200 instances and one node that has just restarted, some requests are sent and their sum stays in the limit. */
    @Test void manyInstancesShareANodeInSlowStartThroughRandomAdmission() {
        int hosts = 200;
        Rules rules = ControlHarness.RULES;                              // tolerates 2 x a quarter of its capacity at first
        ControlSettings s = ControlHarness.settings(false, rules);
        ControlSettings many = new ControlSettings(0, hosts, "a", s.tick(), 4, 10_000, true, false, 1000, 2, 0.4, 0.05, s
            .classes(),
            s.plans(), rules);
        List<Control> fleet = new ArrayList<>();
        double start = 50_000;
        double units = 0;
        for (int h = 0; h < hosts; h++) {
            Control c = new Control(many, h, start);
            c.on(start, new EndpointsReceived(List.of(node("n", 0, EndpointState.HEALTHY, start)), true,
                false));
            fleet.add(c);
        }
        for (int i = 0; i < 40; i++) {                        // a second of the load of 80 units of capacity
            double now = start + 25 * i;
            for (ControlAction a : fleet.get(i * 7 % hosts).on(now, new RequestArrived("q" + i, "read", "free", null, now
                + 2000,
                "v" + i, 2, 0, 24))) {
                units += a instanceof SendAttempt ? 2 : 0;
            }
        }
        assertTrue(units > 0, "a node in slow start is used");
        assertTrue(units < 2 * 0.25 * 80, "the limit is 40 units in this second, sent " + units);
    }

    private static int sentToANodeInSlowStart(boolean answered) {
        Rules rules = ControlHarness.RULES;
        ControlSettings s = ControlHarness.settings(false, rules);
        Control c = new Control(new ControlSettings(0, 14, "a", s.tick(), 4, 10_000, true, false, 1000, 2, 0.4, 0.05,
            s.classes(), s.plans(), rules), 7, 50_000);
        c.on(50_000, new EndpointsReceived(List.of(node("n", 0, EndpointState.HEALTHY, 45_000)), true,
            false));   // half warm
        int sent = 0;
        for (int i = 0; i < 8; i++) {                         // all within one overload span
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

    /** Some instances get several times the mean traffic; requests that they may not send are sent by no other instance. */
    @Test void aNodeInSlowStartTakesASecondRequestOnceTheFirstIsAnswered() {
        assertEquals(1, sentToANodeInSlowStart(false));
        assertEquals(2, sentToANodeInSlowStart(true));
    }

    private static ControlHarness withNodeInSlowStart() {
        ControlHarness scheduler = new ControlHarness(false, 50_000);
        scheduler.on(new EndpointsReceived(List.of(node("n0", 0, EndpointState.HEALTHY, 49_990)), true, true));
        return scheduler;
    }

    @Test void aProcessThatHasHandedOverSendsNothingToANodeInSlowStart() {
        ControlHarness scheduler = withNodeInSlowStart();
        scheduler.on(new LimitsHandedOver());

        scheduler.request("r", "read", "free", "v", 1, 0);

        assertEquals(0, scheduler.sent().size());
    }

    @Test void aProcessThatHasTakenOverSendsToANodeInSlowStartOnceThePredecessorsRequestsNoLongerCount() {
        ControlHarness scheduler = withNodeInSlowStart();
        scheduler.on(new PredecessorReplaced());
        scheduler.advanceTo(scheduler.now + 900);
        scheduler.request("r", "read", "free", "v", 1, 0);
        assertEquals(0, scheduler.sent().size(), "within the span in which requests are counted");

        scheduler.advanceTo(scheduler.now + 200);

        assertEquals(1, scheduler.sent().size());
    }
}
