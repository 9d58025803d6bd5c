package kelphollow.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import kelphollow.protocol.peer.Traffic;
import org.HdrHistogram.Histogram;

/** Samples of the simulated instances, once a second: states, their ages, traffic. Confined to the run's thread. */
final class Samples {
    /** Shares are recorded in ten-thousandths. */
    private static final double SHARE_UNIT = 1e-4;
    private static final int DIGITS = 3;
    /** Exact for shares, of which there are ten thousand. */
    private static final int SHARE_DIGITS = 4;

    /** The counts of an incarnation at the last sample. */
    private record Baseline(long epoch, TrafficCount traffic) {}

    /** Means over instances at one moment, for the plots. */
    record Moment(double seconds, double freshShare, double bytesOut) {}

    private final ScaleScenario scenario;
    private final Histogram fresh = new Histogram(SHARE_DIGITS);
    private final Histogram ages = new Histogram(DIGITS);
    private final Histogram bytesOut = new Histogram(DIGITS);
    private final Histogram bytesIn = new Histogram(DIGITS);
    private final Map<Integer, Baseline> baselines = new HashMap<>();
    private final List<Moment> moments = new ArrayList<>();
    private final TrafficCount total = new TrafficCount();
    private double instanceSeconds;

    Samples(ScaleScenario scenario) {
        this.scenario = scenario;
    }

    /** Takes the counts from which the next sample goes on. */
    void begin(List<SimulatedInstance> running) {
        running.forEach(i -> baselines.put(i.index(), new Baseline(i.epoch(), i.traffic())));
    }

    /**
     * One sample.
     *
     * @param running the simulated instances that run
     * @param names of all instances that run, real ones too
     * @param at since the measurement began, in milliseconds
     * @param span since the sample before, in milliseconds
     */
    void take(List<SimulatedInstance> running, Set<String> names, double at, double span) {
        double shares = 0;
        double bytes = 0;
        for (SimulatedInstance instance : running) {
            long[] held = {0};
            instance.forEachState((name, age) -> {
                if (names.contains(name) && age < scenario.timeToLive()) {
                    held[0]++;
                    ages.recordValue(Math.round(age));
                }
            });
            double share = held[0] / (double) names.size();
            fresh.recordValue(Math.round(share / SHARE_UNIT));
            shares += share;
            bytes += traffic(instance, span);
        }
        int count = Math.max(1, running.size());
        moments.add(new Moment(at / 1_000, shares / count, bytes / count));
    }

    private double traffic(SimulatedInstance instance, double span) {
        TrafficCount now = instance.traffic();
        Baseline before = baselines.put(instance.index(), new Baseline(instance.epoch(), now));
        if (before == null || before.epoch != instance.epoch()) {
            return 0;                      // an incarnation that began meanwhile is counted from its first complete span on
        }
        TrafficCount added = now.since(before.traffic);
        total.add(added);
        instanceSeconds += span / 1_000;
        double rate = added.wireOut() / span * 1_000;
        bytesOut.recordValue(Math.round(rate));
        bytesIn.recordValue(Math.round(added.wireIn() / span * 1_000));
        return rate;
    }

    List<Moment> moments() {
        return moments;
    }

    Map<String, Object> freshShare() {
        return Percentiles.of(fresh, SHARE_UNIT);
    }

    Map<String, Object> ages() {
        return Percentiles.of(ages, 1);
    }

    Map<String, Object> bytesOut() {
        return Percentiles.of(bytesOut, 1);
    }

    Map<String, Object> bytesIn() {
        return Percentiles.of(bytesIn, 1);
    }

    /** By kind, a second and instance: packets and bytes with headers, out and in. */
    Map<String, Object> byKind() {
        return byKind(total, instanceSeconds);
    }

    static Map<String, Object> byKind(TrafficCount total, double instanceSeconds) {
        Map<String, Object> kinds = new LinkedHashMap<>();
        for (Traffic.Kind kind : Traffic.Kind.values()) {
            Map<String, Object> figures = new LinkedHashMap<>();
            figures.put("packets_out", Percentiles.rounded(total.packetsOut(kind) / instanceSeconds));
            figures.put("bytes_out", Percentiles.rounded(total.wireOut(kind) / instanceSeconds));
            figures.put("packets_in", Percentiles.rounded(total.packetsIn(kind) / instanceSeconds));
            figures.put("bytes_in", Percentiles.rounded(total.wireIn(kind) / instanceSeconds));
            kinds.put(kind.name().toLowerCase(Locale.ROOT), figures);
        }
        return kinds;
    }

    /** All that simulated instances sent and received while they were measured. */
    TrafficCount total() {
        return total;
    }

    /** Over how many seconds, summed over instances. */
    double instanceSeconds() {
        return instanceSeconds;
    }
}
