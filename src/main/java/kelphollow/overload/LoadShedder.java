package kelphollow.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/**
 * Selects the requests to shed when demand at a shard's node exceeds its capacity. Each instance reports, by shard, the
 * highest priority weight that it recently had to reject; when any instance rejects a higher weight, all instances admit
 * fewer requests of lower weight. Without these reports an instance whose clients have a low weight would take a node's
 * capacity from one whose clients have a high weight, since each instance sees only its own queue.
 *
 * <p>The admitted fraction decreases and increases by constant factors, at most once in the time that the reports take to
 * show the effect (multiplicative steps as in DAGOR, Zhou et al., SoCC 2018, applied to the fraction instead of the level).
 * A hash of the request decides whether it is admitted, so that all instances admit the same requests (as with DAGOR's user
 * priority). The reports of a failed instance expire with its state in the digest. About 8 s after the last report nothing
 * is shed.
 *
 * <p>Not thread-safe. Memory: a few numbers for each shard and weight that occurred within the last second. Times are in
 * milliseconds.
 */
public final class LoadShedder {
    /** Minimum time between two adjustments of the thresholds. */
    public static final double ADJUSTMENT_INTERVAL_MS = 200;
    /** Smallest admitted fraction. */
    static final double MIN_FRACTION = 0.01;
    // The fraction decreases at most once per settling time, in which a report shows whether the previous step was enough.
    // It increases by a factor instead of a constant, since at ten times a node's capacity it is only a few hundredths, and
    // faster after a quiet period without a report.
    private static final double DECREASE_FACTOR = 0.7;
    private static final double INCREASE_FACTOR = 1.08;
    private static final double QUIET_INCREASE_FACTOR = 1.3;
    private static final double SETTLING_TIME_MS = 2 * DemandWindow.WINDOW_MS + ADJUSTMENT_INTERVAL_MS;
    private static final double QUIET_PERIOD_MS = 2 * SETTLING_TIME_MS;
    // Weights within this factor of the rejected weight are not shed: trading one for the other gains nothing.
    private static final double LOWER_WEIGHT_FACTOR = 0.9;

    private final Map<Integer, NavigableMap<Double, DemandWindow>> demand = new HashMap<>();
    private final Map<Integer, AdmissionThreshold> thresholds = new TreeMap<>();
    private double adjustedAt = Double.NEGATIVE_INFINITY;

    private DemandWindow demandWindow(double now, int shard, double weight) {
        DemandWindow window = demand.computeIfAbsent(shard, s -> new TreeMap<>())
            .computeIfAbsent(weight, w -> new DemandWindow());
        window.advance(now);
        return window;
    }

    /** Returns the arrivals per second at this instance with a weight clearly lower than the given one. */
    private double rateBelow(double now, int shard, double weight) {
        double rate = 0;
        NavigableMap<Double, DemandWindow> byWeight = demand.getOrDefault(shard, new TreeMap<>());
        for (DemandWindow window : byWeight.headMap(LOWER_WEIGHT_FACTOR * weight, false).values()) {
            window.advance(now);
            rate += window.arrivalRate(now);
        }
        return rate;
    }

    /**
     * Returns whether a request may proceed to the decision module.
     *
     * @param weight the request's priority weight
     * @param admissionHash from 0 to 1, the same for the same request on all instances
     */
    public boolean admits(double now, int shard, double weight, double admissionHash) {
        DemandWindow window = demandWindow(now, shard, weight);
        window.countArrival();
        AdmissionThreshold threshold = thresholds.get(shard);
        boolean admitted = threshold == null || weight >= LOWER_WEIGHT_FACTOR * threshold.weight()
            || admissionHash < threshold.admittedFraction(rateBelow(now, shard, threshold.weight()));
        if (admitted) {
            window.countAdmission();
        }
        return admitted;
    }

    /** Counts an admitted request that was later rejected for lack of capacity at the shard's node. */
    public void rejected(double now, int shard, double weight) {
        demandWindow(now, shard, weight).countRejection();
    }

    /** Returns what this instance reports to the others: by shard, the highest priority weight that it rejects. */
    public Map<Integer, Double> overloadReports(double now) {
        demand.values().removeIf(byWeight -> {
            byWeight.values().forEach(window -> window.advance(now));
            byWeight.values().removeIf(DemandWindow::isEmpty);
            return byWeight.isEmpty();
        });
        Map<Integer, Double> reports = new TreeMap<>();
        demand.forEach((shard, byWeight) -> byWeight.descendingMap().entrySet().stream()
            .filter(e -> e.getValue().isOverloaded()).findFirst().ifPresent(e -> reports.put(shard, e.getKey())));
        return reports;
    }

    /**
     * Adjusts the thresholds, at most once per {@link #ADJUSTMENT_INTERVAL_MS}.
     *
     * @param highest by shard, the highest weight of all overload reports, including this instance's
     * @return whether a threshold was set or removed
     */
    public boolean adjust(double now, Map<Integer, Double> highest) {
        if (now - adjustedAt < ADJUSTMENT_INTERVAL_MS) {
            return false;
        }
        adjustedAt = now;
        Set<Integer> before = Set.copyOf(thresholds.keySet());
        highest.forEach((shard, weight) -> applyReport(now, shard, weight));
        // Once only lower weights are rejected, the threshold's weight is protected: its fraction increases again.
        thresholds.replaceAll((shard, threshold) -> highest.getOrDefault(shard, 0.0) >= threshold.weight() ? threshold
            : threshold.withFraction(threshold.fraction() * increaseFactor(now, threshold)));
        thresholds.values().removeIf(threshold -> threshold.fraction() >= 1);
        return !before.equals(thresholds.keySet());
    }

    private static double increaseFactor(double now, AdmissionThreshold threshold) {
        return now - threshold.reportedAt() > QUIET_PERIOD_MS ? QUIET_INCREASE_FACTOR : INCREASE_FACTOR;
    }

    private void applyReport(double now, int shard, double weight) {
        AdmissionThreshold threshold = thresholds.get(shard);
        if (threshold == null || weight >= threshold.weight() && now - threshold.loweredAt() >= SETTLING_TIME_MS) {
            double rate = rateBelow(now, shard, weight);
            double fraction = threshold == null ? 1 : threshold.admittedFraction(rate);
            thresholds.put(shard,
                new AdmissionThreshold(weight, Math.max(MIN_FRACTION, fraction * DECREASE_FACTOR), rate, now, now));
        } else if (weight >= threshold.weight()) {
            thresholds.put(shard, threshold.withReport(now, weight));
        }
    }

    /** Returns the current thresholds by shard. */
    public Map<Integer, AdmissionThreshold> thresholds() {
        return thresholds;
    }
}
