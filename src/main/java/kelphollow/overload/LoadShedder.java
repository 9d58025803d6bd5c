package kelphollow.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which requests are shed when a shard's node is asked for more than its capacity. Each instance reports by shard the
 * highest priority weight that it had to reject of late; where one rejects a higher weight, all instances admit fewer
 * requests of lower weight. Without it an instance whose clients have a low weight takes a node's capacity from one
 * whose clients have a high weight, since each sees only its own queue.
 *
 * <p>The admitted fraction goes down and up by factors, once in the time that the reports take to show the effect
 * (multiplicative steps as in DAGOR, Zhou et al., SoCC 2018, on the fraction instead of the level). Which requests are in it
 * follows from a hash of the request, so that all instances admit the same ones (as DAGOR's user priority). Reports of an
 * instance that is gone expire with its state in the digest; without reports nothing is shed after some 8 s.
 *
 * <p>For one thread. Memory: a few numbers for each shard and weight that occurred within a second. Times are in
 * milliseconds.
 */
public final class LoadShedder {
    /** How often thresholds are adjusted, in milliseconds. */
    public static final double ADJUSTMENT_INTERVAL = 200;
    /** Smallest admitted fraction. */
    static final double MIN_FRACTION = 0.01;
    // Down once in the time in which a report shows whether the step before was enough; up in proportion, since at ten times
    // a node's capacity the fraction is a few hundredths; faster once no report has come for some such times.
    private static final double DECREASE_FACTOR = 0.7;
    private static final double INCREASE_FACTOR = 1.08;
    private static final double CALM_INCREASE_FACTOR = 1.3;
    private static final double SETTLING_TIME = 2 * DemandWindow.WINDOW + ADJUSTMENT_INTERVAL;
    private static final double CALM_TIME = 2 * SETTLING_TIME;
    // A weight nearly as high as the one that is rejected elsewhere is not shed: it would be no gain.
    private static final double LOWER_WEIGHT_FACTOR = 0.9;

    private final Map<Integer, NavigableMap<Double, DemandWindow>> demand = new HashMap<>();
    private final Map<Integer, AdmissionThreshold> thresholds = new TreeMap<>();
    private double adjustedAt = Double.NEGATIVE_INFINITY;

    private DemandWindow demand(double now, int shard, double weight) {
        DemandWindow window = demand.computeIfAbsent(shard, s -> new TreeMap<>())
            .computeIfAbsent(weight, w -> new DemandWindow());
        window.advance(now);
        return window;
    }

    /** Arrivals a second at this instance whose weight is lower than the given one. */
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
     * Whether a request goes on to the decision module.
     *
     * @param weight its priority weight
     * @param admissionHash from 0 to 1, the same for the same request on all instances
     */
    public boolean admits(double now, int shard, double weight, double admissionHash) {
        DemandWindow window = demand(now, shard, weight);
        window.countArrival();
        AdmissionThreshold threshold = thresholds.get(shard);
        boolean admitted = threshold == null || weight >= LOWER_WEIGHT_FACTOR * threshold.weight()
            || admissionHash < threshold.admittedFraction(rateBelow(now, shard, threshold.weight()));
        if (admitted) {
            window.countAdmission();
        }
        return admitted;
    }

    /** A request that was admitted here was rejected later for lack of capacity at the shard's node. */
    public void rejected(double now, int shard, double weight) {
        demand(now, shard, weight).countRejection();
    }

    /** What this instance reports to the others: by shard the highest priority weight that it rejects. */
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
     * Adjusts the thresholds once in {@link #ADJUSTMENT_INTERVAL}.
     *
     * @param highest by shard the highest weight of all overload reports, this instance's included
     * @return whether a threshold was set or removed
     */
    public boolean adjust(double now, Map<Integer, Double> highest) {
        if (now - adjustedAt < ADJUSTMENT_INTERVAL) {
            return false;
        }
        adjustedAt = now;
        Set<Integer> before = Set.copyOf(thresholds.keySet());
        highest.forEach((shard, weight) -> applyReport(now, shard, weight));
        // Where only lower weights are rejected by now, the threshold has served its purpose: the fraction grows again.
        thresholds.replaceAll((shard, threshold) -> highest.getOrDefault(shard, 0.0) >= threshold.weight() ? threshold
            : threshold.withFraction(threshold.fraction() * increaseFactor(now, threshold)));
        thresholds.values().removeIf(threshold -> threshold.fraction() >= 1);
        return !before.equals(thresholds.keySet());
    }

    private static double increaseFactor(double now, AdmissionThreshold threshold) {
        return now - threshold.reportedAt() > CALM_TIME ? CALM_INCREASE_FACTOR : INCREASE_FACTOR;
    }

    private void applyReport(double now, int shard, double weight) {
        AdmissionThreshold threshold = thresholds.get(shard);
        if (threshold == null || weight >= threshold.weight() && now - threshold.loweredAt() >= SETTLING_TIME) {
            double rate = rateBelow(now, shard, weight);
            double fraction = threshold == null ? 1 : threshold.admittedFraction(rate);
            thresholds.put(shard,
                new AdmissionThreshold(weight, Math.max(MIN_FRACTION, fraction * DECREASE_FACTOR), rate, now, now));
        } else if (weight >= threshold.weight()) {
            thresholds.put(shard, threshold.reported(now, weight));
        }
    }

    /** The current thresholds by shard. */
    public Map<Integer, AdmissionThreshold> thresholds() {
        return thresholds;
    }
}
