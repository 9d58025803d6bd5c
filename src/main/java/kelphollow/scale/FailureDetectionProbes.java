package kelphollow.scale;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import kelphollow.membership.MembershipSettings;
import org.HdrHistogram.Histogram;

/**
 * Measures how long each instance takes to detect the failure of another one, and counts false failures and false suspicions
 * of instances that run and are reachable. Thread-safe: instances report from their event loops. Times are milliseconds.
 */
final class FailureDetectionProbes {
    /** For this long after a resumption or a healed partition, reports that result from the fault may still arrive. */
    static final double RECOVERY_GRACE_MILLIS = 15_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    /** A failed instance; {@code waiting} holds the instances that have not detected the failure yet. */
    private record Failure(double at, BitSet waiting) {}

    private final NetworkModel network;
    private final ScaleScenario scenario;
    private final Map<String, Failure> down = new HashMap<>();
    /** Time of each instance's last resumption, by name. */
    private final Map<String, Double> resumedAt = new HashMap<>();
    private double healedAt = Double.NEGATIVE_INFINITY;
    private final Map<String, Long> epochs = new HashMap<>();
    private final Histogram detection = new Histogram(SIGNIFICANT_DIGITS);
    private long falseFailures;
    private long falseSuspicions;
    private long falseFailuresJoining;
    private long falseSuspicionsJoining;
    private long undetected;
    private String firstFalseFailure = "";

    FailureDetectionProbes(ScaleScenario scenario, NetworkModel network) {
        this.scenario = scenario;
        this.network = network;
    }

    /** Ends the joining phase: false reports made until now are counted separately. */
    synchronized void beginMeasurement() {
        falseFailuresJoining = falseFailures;
        falseSuspicionsJoining = falseSuspicions;
        falseFailures = 0;
        falseSuspicions = 0;
        firstFalseFailure = "";
    }

    /** Records the start of an instance's run; reports about its earlier epochs no longer count as false. */
    synchronized void started(int instance, long epoch) {
        String name = ScaleScenario.nameOf(instance);
        epochs.put(name, epoch);
        down.remove(name);
    }

    /** @param waiting instances expected to detect the failure; changed from here on */
    synchronized void died(int instance, double now, BitSet waiting) {
        exclude(instance);
        down.put(ScaleScenario.nameOf(instance), new Failure(now, waiting));
    }

    synchronized void resumed(int instance, double now) {
        String name = ScaleScenario.nameOf(instance);
        down.remove(name);
        resumedAt.put(name, now);
    }

    synchronized void healed(double now) {
        healedAt = now;
    }

    /** A failed instance detects nothing, so no detection is expected of it any more. */
    private void exclude(int instance) {
        down.values().forEach(failure -> failure.waiting.clear(instance));
    }

    /** Records that instance {@code by} reports {@code of} as failed or, for any other kind, as suspected. */
    synchronized void reported(int by, double now, String kind, String of, long epoch) {
        Failure failure = down.get(of);
        if (failure != null) {
            if (kind.equals("failed") && failure.waiting.get(by)) {
                failure.waiting.clear(by);
                detection.recordValue(Math.round(now - failure.at));
            }
            return;
        }
        boolean earlierIncarnation = epochs.containsKey(of) && epoch < epochs.get(of);
        boolean explainedByFault = network.hasPartitions() || now - healedAt < RECOVERY_GRACE_MILLIS
            || now - resumedAt.getOrDefault(of, Double.NEGATIVE_INFINITY) < RECOVERY_GRACE_MILLIS
            || now - resumedAt.getOrDefault(ScaleScenario.nameOf(by), Double.NEGATIVE_INFINITY) < RECOVERY_GRACE_MILLIS;
        if (earlierIncarnation || explainedByFault) {
            return;
        }
        if (kind.equals("failed")) {
            falseFailures++;
            if (firstFalseFailure.isEmpty()) {
                firstFalseFailure = ScaleScenario.nameOf(by) + " reported " + of + " as failed";
            }
        } else {
            falseSuspicions++;
        }
    }

    /** Counts the missing detections of each failure that is older than {@link #maxDetectionMillis}. */
    synchronized void countUndetected(double now) {
        double maxMillis = maxDetectionMillis();
        down.values().forEach(failure -> undetected += now - failure.at > maxMillis ? failure.waiting.cardinality() : 0);
    }

    /** Ten protocol periods for probing, and the longest suspicion timeout plus half of it for dissemination. */
    double maxDetectionMillis() {
        MembershipSettings settings = MembershipSettings.DEFAULTS.withProtocolPeriod(scenario.period());
        double suspicion = settings.suspicionMultiplier() * Math.max(1, Math.log10(scenario.instances() + 1))
            * settings.protocolPeriod() * settings.suspicionMaxFactor();
        return 1.5 * suspicion + 10 * settings.protocolPeriod();
    }

    synchronized long falseFailures() {
        return falseFailures;
    }

    synchronized long falseSuspicions() {
        return falseSuspicions;
    }

    synchronized long falseFailuresJoining() {
        return falseFailuresJoining;
    }

    synchronized long falseSuspicionsJoining() {
        return falseSuspicionsJoining;
    }

    synchronized long undetected() {
        return undetected;
    }

    synchronized String firstFalseFailure() {
        return firstFalseFailure;
    }

    synchronized Map<String, Object> detection() {
        return Percentiles.of(detection, 1);
    }
}
