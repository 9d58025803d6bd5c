package kelphollow.capacity;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import kelphollow.decision.Control;
import kelphollow.decision.ControlAction;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.RetryBudgetChanged;
import kelphollow.decision.ControlEvent.TimerFired;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.ControlSettings.Rules;

/**
 * Simulates how much of a rate limit and of a retry budget remains usable when each of many instances enforces an equal
 * share of it: {@code mvn -B -q -Pbench test-compile exec:exec@parts}. Simulates one instance, since all are alike.
 */
public final class SubUnitShares {
    private static final int[] INSTANCES = {1, 3, 10, 20, 50, 100, 200, 510, 1_000};
    private static final double NODE_RATE = 430;
    private static final double SIMULATED_MS = 600_000;
    private static final double START = 1_000_000;
    private static final double SERVICE_MS = 5;
    private static final double FAILURE_SHARE = 0.05;
    private static final double LIMIT_RATE = 400;
    private static final double LIMIT_BURST = 24;
    private static final double UNITS = 2;
    private static final long SEED = 34;

    private SubUnitShares() {}

    private static ControlSettings settings(int instances) {
        RequestClass read = new RequestClass("read", 300, 2_000, 2, 0.1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0,
            false, false);
        Rules rules = new Rules(250, 0.2, 18_000, 2, 1_000, 3, 0, 0, 0, 0, 10_000);
        return new ControlSettings(0, instances, "a", 2, 3, 20_000, true, false, 1_000, UNITS, 0.35, 0.05, List.of(read),
            List.of(new Plan("usual", 1_000, 0, 1, 1, 0, 0, 0), new Plan("limited", LIMIT_RATE, 0, 1, 1, LIMIT_RATE,
                LIMIT_BURST, 6)),
            rules);
    }

    private record Counts(int asked, int firstAttempts, int retries, int retriesWanted) {}

    /**
     * Simulates one instance with its equal share of {@code rate} requests per second; the node rejects the share
     * {@code failing} of the first attempts.
     */
    private static Counts simulate(int instances, double rate, String plan, double failing, double retryShare) {
        Control control = new Control(settings(instances), SEED, START);
        control.on(START, new RetryBudgetChanged(retryShare, retryShare > 0 ? 10_000 : 0));
        control.on(START, new EndpointsReceived(List.of(new Endpoint("n", "a", 0, EndpointState.HEALTHY, 0)), true, false));
        Random random = new Random(SEED);
        Set<String> tried = new HashSet<>();
        int asked = 0;
        int firstAttempts = 0;
        int retries = 0;
        int retriesWanted = 0;
        double next = START;
        double finished = START + SIMULATED_MS;
        for (double now = START; now < finished; now += 2) {
            List<ControlAction> actions = new ArrayList<>();
            if (now >= next) {
                next = now - Math.log(1 - random.nextDouble()) * 1_000 * instances / rate;
                actions.addAll(control.on(now, new RequestArrived("q" + asked++, "read", plan, null, now + 2_000, "v", UNITS,
                    0, instances)));
            }
            if ((long) now % 10 == 0) {
                actions.addAll(control.on(now, new TimerFired("wake")));
            }
            for (int i = 0; i < actions.size(); i++) {
                if (actions.get(i) instanceof SendAttempt s) {
                    boolean first = tried.add(s.id());
                    firstAttempts += first ? 1 : 0;
                    retries += first ? 0 : 1;
                    boolean rejected = first && random.nextDouble() < failing;
                    retriesWanted += rejected ? 1 : 0;
                    actions.addAll(control.on(now + SERVICE_MS, new AttemptEnded(s.id(), first ? 0 : 1, "n",
                        rejected ? AttemptOutcome.AT_CAPACITY : AttemptOutcome.SERVED, SERVICE_MS, !rejected, false, 0, -1,
                        Map.of())));
                }
            }
        }
        return new Counts(asked, firstAttempts, retries, retriesWanted);
    }

    /** Simulates all sizes and prints the table. */
    public static void main(String[] args) {
        System.out.printf(Locale.ROOT, "| instances | limit: part of the burst, units | units let through of the limit's "
            + "rate (asked: half of it) "
            + "| repeats: first tries an instance, node and 10 s | repeats sent of those wanted (5%% of first tries; the "
            + "budget is 10%%) |%n"
            + "| --- | --- | --- | --- | --- |%n");
        for (int n : INSTANCES) {
            Counts limit = simulate(n, LIMIT_RATE / UNITS / 2, "limited", 0, 0);
            Counts retries = simulate(n, NODE_RATE, "usual", FAILURE_SHARE, 0.1);
            System.out.printf(Locale.ROOT, "| %d | %.3f | %.2f of %d asked | %.1f | %.2f of %d |%n", n, LIMIT_BURST / n,
                limit.asked == 0 ? 0 : (double) limit.firstAttempts / limit.asked, limit.asked, NODE_RATE * 10 / n,
                retries.retriesWanted == 0 ? 0 : (double) retries.retries / retries.retriesWanted, retries.retriesWanted);
        }
    }
}
