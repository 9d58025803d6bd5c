package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates the polls of a fleet for the endpoint list at one discovery service: after an outage, while all instances
 * poll again, seven in ten instances are killed and restarted. The rates were read from the calls of 105 instances in a
 * standing test: 17 calls per second served, about 85 queued at most.
 */
class EndpointPollScheduleTest {
    private static final double SERVICE_UP_AT = 10_000;
    private static final double KILLED_AT = SERVICE_UP_AT + 1_200;
    private static final double RESTARTED_AT = KILLED_AT + 2_700;
    private static final double END = 120_000;
    private static final double POLL_INTERVAL = 10_000;

    /** One caller: either {@link EndpointPollSchedule}, or a fixed backoff after every failure of any type. */
    private interface Poller {
        void started(double now);

        void failed(double now, boolean rejected);

        void received();

        boolean takeDue(double now);
    }

    private static Poller scheduled(int instances, Random random) {
        EndpointPollSchedule schedule = new EndpointPollSchedule(instances, POLL_INTERVAL, random);
        return new Poller() {
            @Override public void started(double now) {
                schedule.started(now);
            }

            @Override public void failed(double now, boolean rejected) {
                schedule.failed(now, rejected);
            }

            @Override public void received() {
                schedule.received();
            }

            @Override public boolean takeDue(double now) {
                return schedule.takeDue(now);
            }
        };
    }

    private static Poller fixedBackoffs(Random random) {
        return new Poller() {
            private double dueAt = Double.POSITIVE_INFINITY;

            @Override public void started(double now) {
                dueAt = now;
            }

            @Override public void failed(double now, boolean rejected) {
                dueAt = now + 420 + 980 * random.nextDouble();
            }

            @Override public void received() {
                dueAt = Double.POSITIVE_INFINITY;
            }

            @Override public boolean takeDue(double now) {
                boolean due = now >= dueAt;
                dueAt = due ? Double.POSITIVE_INFINITY : dueAt;
                return due;
            }
        };
    }

    /** Returns when each instance has received the list again; for killed instances, after their restart only. */
    private static double[] simulate(int instances, double callsPerSecond, boolean scheduled, long seed) {
        Random random = new Random(seed);
        DiscoveryQueue service = new DiscoveryQueue(callsPerSecond, (int) (0.8 * instances));
        Poller[] callers = new Poller[instances];
        double[] receivedAt = new double[instances];
        Arrays.fill(receivedAt, Double.POSITIVE_INFINITY);
        for (int i = 0; i < instances; i++) {
            callers[i] = scheduled ? scheduled(instances, random) : fixedBackoffs(random);
            callers[i].failed(0, false);                     // the outage breaks all watches
        }
        PriorityQueue<DiscoveryQueue.Outcome> answers = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
        int killed = instances * 7 / 10;
        for (double now = 0; now < END; now++) {
            if (now == KILLED_AT) {
                answers.removeIf(a -> a.caller() < killed);
                Arrays.fill(receivedAt, 0, killed, Double.POSITIVE_INFINITY);
            }
            for (DiscoveryQueue.Outcome a; (a = answers.peek()) != null && a.at() <= now;) {
                answers.poll();
                if (a.answer() == DiscoveryQueue.Answer.SERVED) {
                    callers[a.caller()].received();
                    receivedAt[a.caller()] = now;
                } else {
                    callers[a.caller()].failed(now, true);
                }
            }
            for (int i = 0; i < instances; i++) {
                if (i < killed && now == RESTARTED_AT) {
                    callers[i] = scheduled ? scheduled(instances, random) : fixedBackoffs(random);
                    callers[i].started(now);
                }
                boolean away = i < killed && now >= KILLED_AT && now < RESTARTED_AT;
                if (!away && callers[i].takeDue(now)) {
                    answers.add(service.call(now, i, SERVICE_UP_AT));
                }
            }
        }
        return receivedAt;
    }

    private static long countWithoutList(double[] receivedAt) {
        return Arrays.stream(receivedAt).filter(at -> at == Double.POSITIVE_INFINITY).count();
    }

    private static double lastReceivedAt(double[] receivedAt) {
        return Arrays.stream(receivedAt).max().orElse(0);
    }

    @Test void fixedBackoffsKeepTheServiceOverloaded() {
        for (long seed = 1; seed <= 5; seed++) {
            long missing = countWithoutList(simulate(105, 13, false, seed));
            assertTrue(missing > 30, missing + " of 105 instances never received the list again, seed " + seed);
        }
    }

    /** The service can serve one call of each instance within the poll interval. */
    @ParameterizedTest
    @CsvSource({"30, 5", "100, 17", "105, 13", "510, 85"}) void everyInstanceReceivesTheListSoonAfterARestartDuringTheBurst(
        int instances, double callsPerSecond) {
        for (long seed = 1; seed <= 5; seed++) {
            double[] receivedAt = simulate(instances, callsPerSecond, true, seed);
            assertEquals(0, countWithoutList(receivedAt), instances + " instances, seed " + seed);
            assertTrue(lastReceivedAt(receivedAt) < RESTARTED_AT + POLL_INTERVAL, instances + " instances, the last one "
                + (lastReceivedAt(receivedAt) - RESTARTED_AT) + " ms after the restart, seed " + seed);
        }
    }

    public static void main(String[] args) {
        int[][] sizes = {{30, 5}, {30, 17}, {100, 17}, {105, 8}, {105, 13}, {105, 17}, {510, 17}, {510, 50}, {510, 85}};
        for (int[] size : sizes) {
            for (boolean scheduled : new boolean[] {false, true}) {
                StringBuilder line = new StringBuilder();
                for (long seed = 1; seed <= 5; seed++) {
                    double[] h = simulate(size[0], size[1], scheduled, seed);
                    double[] s = Arrays.copyOfRange(h, size[0] * 7 / 10, size[0]);
                    long lateSurvivors = Arrays.stream(s).filter(at -> at > SERVICE_UP_AT + 6_250).count();
                    line.append(String.format("  never %d, last +%.1f s, survivors over 6.25 s %d",
                        countWithoutList(h), (lastReceivedAt(h) - RESTARTED_AT) / 1000, lateSurvivors));
                }
                System.out.println(size[0] + " at " + size[1] + (scheduled ? " scheduled" : " fixed") + line);
            }
        }
    }
}
