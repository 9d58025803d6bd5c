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
 * The calls of a fleet for the endpoint list at one service: an outage, then a restart of seven instances in ten into the
 * crowd that returns. The rates are those read from the calls of 105 schedulers on a day of the standing test: 17 calls a
 * second served, about 85 waiting at most.
 */
class EndpointPollScheduleTest {
    private static final double RETURN = 10_000;
    private static final double KILLED = RETURN + 1_200;
    private static final double STARTED = KILLED + 2_700;
    private static final double END = 120_000;
    private static final double POLL_INTERVAL = 10_000;

    /** One caller: either the schedule of the product, or a fixed backoff after each failure, whatever it was. */
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

    /** When each instance has its list again; those that were killed have it after their new start only. */
    private static double[] play(int instances, double callsPerSecond, boolean scheduled, long seed) {
        Random random = new Random(seed);
        DiscoveryQueue service = new DiscoveryQueue(callsPerSecond, (int) (0.8 * instances));
        Poller[] callers = new Poller[instances];
        double[] receivedAt = new double[instances];
        Arrays.fill(receivedAt, Double.POSITIVE_INFINITY);
        for (int i = 0; i < instances; i++) {
            callers[i] = scheduled ? scheduled(instances, random) : fixedBackoffs(random);
            callers[i].failed(0, false);                     // the outage ends all watches
        }
        PriorityQueue<DiscoveryQueue.Outcome> answers = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
        int killed = instances * 7 / 10;
        for (double now = 0; now < END; now++) {
            if (now == KILLED) {
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
                if (i < killed && now == STARTED) {
                    callers[i] = scheduled ? scheduled(instances, random) : fixedBackoffs(random);
                    callers[i].started(now);
                }
                boolean away = i < killed && now >= KILLED && now < STARTED;
                if (!away && callers[i].takeDue(now)) {
                    answers.add(service.call(now, i, RETURN));
                }
            }
        }
        return receivedAt;
    }

    private static long never(double[] receivedAt) {
        return Arrays.stream(receivedAt).filter(at -> at == Double.POSITIVE_INFINITY).count();
    }

    private static double last(double[] receivedAt) {
        return Arrays.stream(receivedAt).max().orElse(0);
    }

    @Test void fixedBackoffsKeepTheServiceOverloadedForGood() {
        for (long seed = 1; seed <= 5; seed++) {
            long never = never(play(105, 13, false, seed));
            assertTrue(never > 30, never + " of 105 never had their list again, seed " + seed);
        }
    }

    /** The service has room for each instance's call within the time of the poll interval. */
    @ParameterizedTest
    @CsvSource({"30, 5", "100, 17", "105, 13", "510, 85"}) void eachInstanceHasItsListAgainSoonAfterARestartIntoTheCrowd(
        int instances, double callsPerSecond) {
        for (long seed = 1; seed <= 5; seed++) {
            double[] receivedAt = play(instances, callsPerSecond, true, seed);
            assertEquals(0, never(receivedAt), instances + " instances, seed " + seed);
            assertTrue(last(receivedAt) < STARTED + POLL_INTERVAL, instances + " instances, the last one "
                + (last(receivedAt) - STARTED) + " ms after the restart, seed " + seed);
        }
    }

    public static void main(String[] args) {
        int[][] sizes = {{30, 5}, {30, 17}, {100, 17}, {105, 8}, {105, 13}, {105, 17}, {510, 17}, {510, 50}, {510, 85}};
        for (int[] size : sizes) {
            for (boolean scheduled : new boolean[] {false, true}) {
                StringBuilder line = new StringBuilder();
                for (long seed = 1; seed <= 5; seed++) {
                    double[] h = play(size[0], size[1], scheduled, seed);
                    double[] s = Arrays.copyOfRange(h, size[0] * 7 / 10, size[0]);
                    long lateSurvivors = Arrays.stream(s).filter(at -> at > RETURN + 6_250).count();
                    line.append(String.format("  never %d, last +%.1f s, survivors over 6.25 s %d",
                        never(h), (last(h) - STARTED) / 1000, lateSurvivors));
                }
                System.out.println(size[0] + " at " + size[1] + (scheduled ? " scheduled" : " fixed") + line);
            }
        }
    }
}
