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

/** Many instances of the module on one test clock: guards against behaviour that is harmful only if all show it. */
class ManyInstancesTest {
    private static final long SEED = 20261201;
    private static final int HOSTS = 40;
    private static final double START = 50_000;

    private static ControlSettings settings(boolean endpointsPolled) {
        Rules rules = new Rules(250, 0.2, 18_000, 2, 1_000, 3, 0, 0, 0, 0, 10_000);
        ControlSettings s = ControlHarness.settings(endpointsPolled, rules);
        return new ControlSettings(0, HOSTS, "a", 1, 3, 10_000, true, endpointsPolled, 1_000, 2, 0.35, 0.05, s.classes(), s
            .plans(),
            rules);
    }

    private static List<Control> fleet(boolean endpointsPolled) {
        List<Control> fleet = new ArrayList<>();
        for (int h = 0; h < HOSTS; h++) {
            fleet.add(new Control(settings(endpointsPolled), SEED + h, START));
        }
        return fleet;
    }

    /**
     * Guards against a thundering herd: an outage of the discovery service fails all watches at once, and instances that all
     * poll again at the same time would overload it.
     */
    @Test void pollsAfterACommonFailureAreSpreadOverTime() {
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
        int most = 0;
        int all = 0;
        for (int n : calls) {
            most = Math.max(most, n);
            all += n;
        }
        assertTrue(most <= HOSTS / 4, most + " of " + HOSTS + " calls within 100 ms, seed " + SEED);
        // A change must reach every instance within 6 s of the service's return, which bounds the backoff.
        double mean = EndpointPollSchedule.BASE_BACKOFF_MS * (1 + EndpointPollSchedule.MIN_BACKOFF_SHARE) / 2;
        assertEquals(HOSTS * 4_000 / mean, all, HOSTS, "calls in 4 s, seed " + SEED);
    }

    @Test void totalLoadOnNodesInSlowStartStaysBelowTheLimit() {
        for (double demand : new double[] {0.75, 1.0}) {      // as a share of the nodes' full capacity
            double[] load = new NodesInSlowStart(demand).run();
            for (int s = 0; s < load.length; s++) {
                String where = "second " + s + " at " + demand + " of the capacity: " + load[s] + ", seed " + SEED;
                assertTrue(load[s] < 1, where);
                assertTrue(load[s] > 0.1, "nodes in slow start are used, " + where);
            }
        }
    }

    /** A surge of 1.5 times the capacity of warm nodes: the limit may be exceeded by 5 % in the first second only. */
    @Test void aSurgeOnNodesInSlowStartIsLimited() {
        double[] load = new NodesInSlowStart(1.5).run();
        for (int s = 0; s < load.length; s++) {
            assertTrue(load[s] < (s == 0 ? 1.05 : 1), "second " + s + ": " + load[s] + ", seed " + SEED);
        }
    }

    private record Answer(double at, Control to, AttemptEnded event) {}

    /** Simulation of twenty nodes that start at the same time; each serves its requests in order. Times are milliseconds. */
    private static final class NodesInSlowStart {
        private static final int NODES = 20;
        private static final int SECONDS = 12;
        private static final int STEP = 2;
        /** Units per second of one node at full capacity. */
        private static final double CAPACITY = 20;
        private static final double MIN_LATENCY = 150;
        private static final double UNITS = 2;

        private final double demand;
        private final List<Control> fleet = fleet(false);
        private final Random random = new Random(SEED);
        private final double[] freeAt = new double[NODES];
        private final double[] sent = new double[SECONDS];
        private final PriorityQueue<Answer> answers = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
        /** Instances that returned {@link #actions}, at the same index. */
        private final List<Control> actors = new ArrayList<>();
        private final List<List<ControlAction>> actions = new ArrayList<>();
        private int step;
        private double now;
        private int requests;

        /** @param demand load of the clients as a share of the nodes' full capacity */
        NodesInSlowStart(double demand) {
            this.demand = demand;
            List<Endpoint> list = new ArrayList<>();
            for (int n = 0; n < NODES; n++) {
                list.add(ControlHarness.node("n" + n, n, EndpointState.HEALTHY, START));
            }
            fleet.forEach(c -> c.on(START, new EndpointsReceived(list, true, false)));
        }

        /** Runs the simulation and returns the units sent in each second as a share of the slow start limit. */
        double[] run() {
            for (step = 0; step < SECONDS * 1_000; step += STEP) {
                now = START + step;
                actors.clear();
                actions.clear();
                while (!answers.isEmpty() && answers.peek().at <= now) {
                    Answer answer = answers.poll();
                    deliver(answer.to, answer.event);
                }
                arrive();
                if (step % 10 == 0) {
                    fleet.forEach(c -> deliver(c, new TimerFired("wake")));
                }
                carryOut();
            }
            for (int s = 0; s < sent.length; s++) {
                double ramp = 0.2 + 0.8 * (s + 0.5) / 18;
                sent[s] /= NODES * 2 * CAPACITY * ramp;
            }
            return sent;
        }

        private void deliver(Control control, ControlEvent event) {
            actors.add(control);
            actions.add(control.on(now, event));
        }

        /** Draws an arrival; half of the arrivals go to the first third of the instances, the rest to all. */
        private void arrive() {
            if (random.nextDouble() < NODES * CAPACITY / UNITS * demand * STEP / 1_000) {
                int host = random.nextInt(random.nextBoolean() ? HOSTS / 3 : HOSTS);
                deliver(fleet.get(host), new RequestArrived("q" + requests, "read", "free", null, now + 2_000,
                    "v" + random.nextInt(400), UNITS, random.nextInt(NODES), 3));
                requests++;
            }
        }

        private void carryOut() {
            for (int i = 0; i < actions.size(); i++) {
                for (ControlAction action : actions.get(i)) {
                    if (action instanceof SendAttempt send) {
                        send(actors.get(i), send);
                    }
                }
            }
        }

        private void send(Control from, SendAttempt send) {
            sent[step / 1_000] += UNITS;
            int n = Integer.parseInt(send.node().substring(1));
            double capacity = CAPACITY * (0.2 + 0.8 * step / 18_000);
            freeAt[n] = Math.max(freeAt[n], now) + UNITS / capacity * 1_000;
            double at = Math.max(freeAt[n], now + MIN_LATENCY);
            answers.add(new Answer(at, from, new AttemptEnded(send.id(), 0, send.node(), AttemptOutcome.SERVED, at - now,
                true, false, 0, -1, Map.of())));
        }
    }
}
