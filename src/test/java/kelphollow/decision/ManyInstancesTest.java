package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import kelphollow.decision.ControlAction.PollEndpoints;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointPollFailed;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.TimerFired;
import kelphollow.decision.ControlSettings.Rules;
import org.junit.jupiter.api.Test;

/** Many instances of the real module on one test clock: what is harmless for one and harmful when all do it. */
class ManyInstancesTest {
    private static final long SEED = 20261201;
    private static final int HOSTS = 40;
    private static final double START = 50_000;

    private static ControlSettings settings(boolean ask) {
        Rules rules = new Rules(250, 0.2, 18_000, 2, 1_000, 3, 0, 0, 0, 0, 10_000);
        ControlSettings s = ControlHarness.settings(ask, rules);
        return new ControlSettings(0, HOSTS, "a", 1, 3, 10_000, true, ask, 1_000, 2, 0.35, 0.05, s.classes(), s.plans(),
            rules);
    }

    private static List<Control> fleet(boolean ask) {
        List<Control> fleet = new ArrayList<>();
        for (int h = 0; h < HOSTS; h++) {
            fleet.add(new Control(settings(ask), SEED + h, START));
        }
        return fleet;
    }

    /** A lost discovery fails all watches at one instant; a crowd that comes back as one fails them again. */
    @Test void callsForTheListAfterACommonFailureAreSpread() {
        List<Control> fleet = fleet(true);
        fleet.forEach(Control::start);
        fleet.forEach(c -> c.on(START, new EndpointPollFailed(EndpointPollFailure.UNREACHABLE)));
        int[] calls = new int[40];                            // by 100 ms
        for (int t = 1; t <= 4_000; t++) {
            for (Control c : fleet) {
                for (ControlAction a : c.on(START + t, new TimerFired("wake"))) {
                    if (a instanceof PollEndpoints) {
                        calls[(t - 1) / 100]++;
                        c.on(START + t, new EndpointPollFailed(EndpointPollFailure.UNREACHABLE));   // still down
                    }
                }
            }
        }
        int most = 0, all = 0;
        for (int n : calls) {
            most = Math.max(most, n);
            all += n;
        }
        assertTrue(most <= HOSTS / 4, most + " of " + HOSTS + " calls within 100 ms, seed " + SEED);
        // News counts as told 6 s after the service is back, so nobody may stay away for long.
        double mean = EndpointPollSchedule.LONGEST_PAUSE * (1 + EndpointPollSchedule.SHORTEST_SHARE) / 2;
        assertEquals(HOSTS * 4_000 / mean, all, HOSTS, "calls in 4 s, seed " + SEED);
    }

    private record Answer(double at, Control to, AttemptEnded done) {}

    /** Units sent in each second to twenty nodes that start at one instant, as a share of what the rule bears. */
    private static double[] coldLoad(double demand) {
        int nodes = 20;
        double perNode = 20, service = 150;                   // units a second at full power; an answer's least time
        double[] freeAt = new double[nodes];                  // what a node has taken it works off in turn
        List<Control> fleet = fleet(false);
        List<Endpoint> list = new ArrayList<>();
        for (int n = 0; n < nodes; n++) {
            list.add(ControlHarness.node("n" + n, n, EndpointState.HEALTHY, START));
        }
        fleet.forEach(c -> c.on(START, new EndpointsReceived(list, true, false)));
        Random random = new Random(SEED);
        PriorityQueue<Answer> answers = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
        double[] sent = new double[12];
        for (int t = 0, id = 0; t < 12_000; t += 2) {
            double now = START + t;
            List<Control> heard = new ArrayList<>();
            List<List<ControlAction>> did = new ArrayList<>();
            while (!answers.isEmpty() && answers.peek().at <= now) {
                Answer a = answers.poll();
                heard.add(a.to);
                did.add(a.to.on(now, a.done));
            }
            if (random.nextDouble() < nodes * perNode / 2 * demand * 2 / 1_000) {   // of 2 units, every 2 ms
                // A third of the hosts get half of the traffic.
                int h = random.nextInt(random.nextBoolean() ? HOSTS / 3 : HOSTS);
                heard.add(fleet.get(h));
                did.add(fleet.get(h).on(now, new RequestArrived("q" + id++, "read", "free", null, now + 2_000,
                    "v" + random.nextInt(400), 2, random.nextInt(nodes), 3)));
            }
            if (t % 10 == 0) {
                for (Control c : fleet) {
                    heard.add(c);
                    did.add(c.on(now, new TimerFired("wake")));
                }
            }
            for (int i = 0; i < did.size(); i++) {
                for (ControlAction a : did.get(i)) {
                    if (a instanceof SendAttempt s) {
                        sent[t / 1_000] += 2;
                        int n = Integer.parseInt(s.node().substring(1));
                        double power = perNode * (0.2 + 0.8 * t / 18_000);
                        freeAt[n] = Math.max(freeAt[n], now) + 2 / power * 1_000;
                        double at = Math.max(freeAt[n], now + service);
                        answers.add(new Answer(at, heard.get(i), new AttemptEnded(s.id(), 0, s.node(),
                            AttemptOutcome.SERVED, at - now, true, false, 0, -1, Map.of())));
                    }
                }
            }
        }
        for (int s = 0; s < sent.length; s++) {
            double ramp = 0.2 + 0.8 * (s + 0.5) / 18;
            sent[s] /= nodes * 2 * perNode * ramp;
        }
        return sent;
    }

    @Test void allHostsTogetherSendColdNodesLessThanTheRuleBears() {
        for (double demand : new double[] {0.75, 1.0}) {      // as a share of the nodes' full power
            double[] load = coldLoad(demand);
            for (int s = 0; s < load.length; s++) {
                assertTrue(load[s] < 1, "second " + s + " at " + demand + " of the power: " + load[s] + ", seed " + SEED);
                assertTrue(load[s] > 0.1, "cold nodes are used, second " + s + ": " + load[s]);
            }
        }
    }

    /** A surge of half as much again as warm nodes could bear: the rule leaves a little for chance, and no more. */
    @Test void aSurgeOnColdNodesIsHeldBackByTheirAnswers() {
        double[] load = coldLoad(1.5);
        for (int s = 0; s < load.length; s++) {
            assertTrue(load[s] < (s == 0 ? 1.05 : 1), "second " + s + ": " + load[s] + ", seed " + SEED);
        }
    }
}
