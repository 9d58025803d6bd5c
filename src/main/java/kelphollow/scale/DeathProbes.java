package kelphollow.scale;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import kelphollow.membership.MembershipSettings;
import org.HdrHistogram.Histogram;

/**
 * Measures how long a death takes to be found by each instance, and counts accusations of those that run and can be reached.
 * Safe for any thread: instances report from their loops.
 */
final class DeathProbes {
    /** After a wake or a healing, findings of before may still arrive for so long, in milliseconds. */
    static final double AFTERMATH = 15_000;
    private static final int DIGITS = 3;

    private static final class Death {
        final double at;
        final BitSet waiting;

        Death(double at, BitSet waiting) {
            this.at = at;
            this.waiting = waiting;
        }
    }

    private final NetworkModel network;
    private final ScaleScenario scenario;
    private final Map<String, Death> down = new HashMap<>();
    /** When the instance woke last, or a cut was healed last. */
    private final Map<String, Double> wokenAt = new HashMap<>();
    private double healedAt = Double.NEGATIVE_INFINITY;
    private final Map<String, Long> epochs = new HashMap<>();
    private final Histogram detection = new Histogram(DIGITS);
    private long falseFailures, falseSuspicions, undetected, falseFailuresJoining, falseSuspicionsJoining;
    private String firstFalse = "";

    DeathProbes(ScaleScenario scenario, NetworkModel network) {
        this.scenario = scenario;
        this.network = network;
    }

    /** Joining is over: accusations of before are kept apart. */
    synchronized void begin() {
        falseFailuresJoining = falseFailures;
        falseSuspicionsJoining = falseSuspicions;
        falseFailures = falseSuspicions = 0;
        firstFalse = "";
    }

    /** A life begins. */
    synchronized void started(int instance, long epoch) {
        String name = ScaleScenario.nameOf(instance);
        epochs.put(name, epoch);
        down.remove(name);
    }

    /** @param waiting instances that are to find it */
    synchronized void died(int instance, double now, BitSet waiting) {
        excuse(instance);
        down.put(ScaleScenario.nameOf(instance), new Death(now, waiting));
    }

    synchronized void woken(int instance, double now) {
        String name = ScaleScenario.nameOf(instance);
        down.remove(name);
        wokenAt.put(name, now);
    }

    synchronized void healed(double now) {
        healedAt = now;
    }

    private void excuse(int instance) {
        down.values().forEach(d -> d.waiting.clear(instance));
    }

    synchronized void event(int by, double now, String kind, String of, long epoch) {
        Death death = down.get(of);
        if (death != null) {
            if (kind.equals("failed") && death.waiting.get(by)) {
                death.waiting.clear(by);
                detection.recordValue(Math.round(now - death.at));
            }
            return;
        }
        boolean earlierLife = epochs.containsKey(of) && epoch < epochs.get(of);
        boolean explained = network.hasCuts() || now - healedAt < AFTERMATH
            || now - wokenAt.getOrDefault(of, Double.NEGATIVE_INFINITY) < AFTERMATH
            || now - wokenAt.getOrDefault(ScaleScenario.nameOf(by), Double.NEGATIVE_INFINITY) < AFTERMATH;
        if (earlierLife || explained) {
            return;
        }
        if (kind.equals("failed")) {
            falseFailures++;
            firstFalse = firstFalse.isEmpty() ? ScaleScenario.nameOf(by) + " found " + of + " dead" : firstFalse;
        } else {
            falseSuspicions++;
        }
    }

    /** Counts who has not found a death that is older than the longest suspicion. */
    synchronized void end(double now) {
        double longest = longestDetection();
        down.values().forEach(d -> undetected += now - d.at > longest ? d.waiting.cardinality() : 0);
    }

    /** A round of probes over all, and the longest suspicion, with half of it on top for news to spread; in milliseconds. */
    double longestDetection() {
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

    synchronized String firstFalse() {
        return firstFalse;
    }

    synchronized Map<String, Object> detection() {
        return Percentiles.of(detection, 1);
    }
}
