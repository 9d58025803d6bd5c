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

/** Samples the simulated instances once a second: fresh states, their ages, traffic. Confined to the run's thread. */
final class Samples {
    /** Shares are recorded in ten-thousandths, since the histogram holds integers. */
    private static final double SHARE_UNIT = 1e-4;
    private static final int DIGITS = 3;
    /** Significant digits that keep all ten thousand shares exact. */
    private static final int SHARE_DIGITS = 4;

    /** Traffic counters of an instance's run at the last sample. */
    private record Baseline(long epoch, TrafficCount traffic) {}

    /** Means over instances at one sample, for the plots; {@code bytesOut} is per second. */
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

    /** Takes the counters that the first sample is compared with. */
    void begin(List<SimulatedInstance> running) {
        running.forEach(i -> baselines.put(i.index(), new Baseline(i.epoch(), i.traffic())));
    }

    /**
     * Takes one sample.
     *
     * @param running the running simulated instances
     * @param names names of all running instances, real ones included
     * @param at milliseconds since the measurement began
     * @param span milliseconds since the previous sample
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
            return 0;                      // a new run of the instance is counted from its first complete span on
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

    /** Returns packets and bytes with headers, out and in, per second and instance, by kind of traffic. */
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

    /** Returns what all simulated instances together sent and received in the sampled spans. */
    TrafficCount total() {
        return total;
    }

    /** Returns the sampled seconds, summed over instances. */
    double instanceSeconds() {
        return instanceSeconds;
    }
}
