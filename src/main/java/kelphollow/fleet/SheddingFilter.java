package kelphollow.fleet;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.digest.Digest;
import kelphollow.digest.OverloadReport;
import kelphollow.digest.Subject;
import kelphollow.overload.AdmissionThreshold;
import kelphollow.overload.LoadShedder;
import kelphollow.routing.AdmissionFilter;
import kelphollow.routing.Ticker;

/**
 * Connects {@link LoadShedder} to the routing and the digest. A request's priority weight is its class's weight times its
 * plan's price. Requests within this instance's part of their volume's reserve are never shed, and rejections that a rate
 * limit or the retry budget may have caused do not count as overload. Not thread-safe.
 */
final class SheddingFilter implements AdmissionFilter {
    private static final double UNKNOWN_WEIGHT = -1;

    private final Ticker ticker;
    private final Random random;
    private final double maxRetryAfter;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Plan> plans = new HashMap<>();
    private final VolumeReserves reserves = new VolumeReserves();
    private final LoadShedder shedder = new LoadShedder();

    SheddingFilter(ControlSettings settings, Ticker ticker, Random random) {
        this.ticker = ticker;
        this.random = random;
        this.maxRetryAfter = settings.maxRetryAfter();
        settings.classes().forEach(c -> classes.put(c.name(), c));
        settings.plans().forEach(p -> plans.put(p.name(), p));
    }

    private double priorityWeight(RequestArrived arrival) {
        RequestClass requestClass = classes.get(arrival.requestClass());
        Plan plan = plans.get(arrival.plan());
        return requestClass == null || plan == null ? UNKNOWN_WEIGHT : requestClass.priorityWeight() * plan.price();
    }

    @Override public OptionalDouble retryAfter(RequestArrived arrival) {
        double weight = priorityWeight(arrival);
        if (weight < 0 || arrival.cell() < 0 || isReserved(arrival)
            || shedder.admits(ticker.now(), arrival.cell(), weight, admissionHash(arrival.key()))) {
            return OptionalDouble.empty();
        }
        // Full jitter, so that requests that are shed together are not retried together.
        return OptionalDouble.of(random.nextDouble() * maxRetryAfter);
    }

    @Override public void rejected(RequestArrived arrival) {
        Plan plan = plans.get(arrival.plan());
        // A retry may have been rejected by its node's retry budget, which says nothing about the node's capacity.
        if (plan != null && plan.limitRate() <= 0 && !arrival.isRetry() && arrival.cell() >= 0
            && priorityWeight(arrival) >= 0) {
            shedder.rejected(ticker.now(), arrival.cell(), priorityWeight(arrival));
        }
    }

    private boolean isReserved(RequestArrived arrival) {
        double rate = plans.get(arrival.plan()).reserve() / Math.max(1, arrival.instances());
        return rate > 0 && reserves.take(ticker.now(), arrival.volume(), rate, arrival.units());
    }

    /** Returns a hash from 0 to 1 that is the same for the same object on all instances. */
    private static double admissionHash(String key) {
        CRC32C checksum = new CRC32C();
        checksum.update(String.valueOf(key).getBytes(StandardCharsets.UTF_8));
        return checksum.getValue() / 0x1p32;
    }

    /** Publishes this instance's overload reports and applies all; returns whether a threshold was set or removed. */
    boolean update(double now, Digest digest, String self) {
        Map<Integer, Double> own = shedder.overloadReports(now);
        for (String shard : digest.committedKeys(Subject.OVERLOAD)) {
            if (!own.containsKey(Integer.parseInt(shard))) {
                digest.withdraw(Subject.OVERLOAD, shard);
            }
        }
        own.forEach((shard, weight) -> digest.publish(Subject.OVERLOAD, Integer.toString(shard), weight));
        Map<Integer, Double> highest = new TreeMap<>(own);
        for (OverloadReport report : digest.overloadReports(now)) {
            if (!report.reporter().equals(self)) {
                highest.merge(report.shard(), report.priorityWeight(), Math::max);
            }
        }
        return shedder.adjust(now, highest);
    }

    /** Returns the current thresholds by shard. */
    Map<Integer, AdmissionThreshold> thresholds() {
        return shedder.thresholds();
    }
}
