package kelphollow.scale;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import kelphollow.membership.MembershipSettings;
import org.HdrHistogram.Histogram;

/**
 * Measures how long each instance takes to detect a death, and counts false findings about instances that run and can be
 * reached. Thread-safe: instances report from their loops.
 */
final class FailureDetectionProbes {
    /** How long after a resumption or a healed partition earlier findings may still arrive, in milliseconds. */
    static final double RECOVERY_GRACE_MILLIS = 15_000;
    private static final int DIGITS = 3;

    /** A death; {@code waiting} are the instances that have not found it yet. */
    private record Death(double at, BitSet waiting) {}

    private final NetworkModel network;
    private final ScaleScenario scenario;
    private final Map<String, Death> down = new HashMap<>();
    /** When the instance was resumed last. */
    private final Map<String, Double> resumedAt = new HashMap<>();
    private double healedAt = Double.NEGATIVE_INFINITY;
    private final Map<String, Long> epochs = new HashMap<>();
    private final Histogram detection = new Histogram(DIGITS);
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

    /** Joining is over: false findings until now are counted apart. */
    synchronized void beginMeasurement() {
        falseFailuresJoining = falseFailures;
        falseSuspicionsJoining = falseSuspicions;
        falseFailures = 0;
        falseSuspicions = 0;
        firstFalseFailure = "";
    }

    /** An incarnation begins. */
    synchronized void started(int instance, long epoch) {
        String name = ScaleScenario.nameOf(instance);
        epochs.put(name, epoch);
        down.remove(name);
    }

    /** @param waiting instances that are to find it */
    synchronized void died(int instance, double now, BitSet waiting) {
        exclude(instance);
        down.put(ScaleScenario.nameOf(instance), new Death(now, waiting));
    }

    synchronized void resumed(int instance, double now) {
        String name = ScaleScenario.nameOf(instance);
        down.remove(name);
        resumedAt.put(name, now);
    }

    synchronized void healed(double now) {
        healedAt = now;
    }

    private void exclude(int instance) {
        down.values().forEach(death -> death.waiting.clear(instance));
    }

    synchronized void reported(int by, double now, String kind, String of, long epoch) {
        Death death = down.get(of);
        if (death != null) {
            if (kind.equals("failed") && death.waiting.get(by)) {
                death.waiting.clear(by);
                detection.recordValue(Math.round(now - death.at));
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
                firstFalseFailure = ScaleScenario.nameOf(by) + " found " + of + " dead";
            }
        } else {
            falseSuspicions++;
        }
    }

    /** Counts who has not found a death that is older than the longest suspicion. */
    synchronized void countUndetected(double now) {
        double longest = maxDetectionMillis();
        down.values().forEach(death -> undetected += now - death.at > longest ? death.waiting.cardinality() : 0);
    }

    /** A round of probes over all, and the longest suspicion, with half of it on top for news to spread; in milliseconds. */
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
