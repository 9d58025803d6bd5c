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
 * Wires {@link LoadShedder} to the routing and the digest: a request's priority weight is its class's weight times its
 * plan's price; what is inside this instance's part of its volume's reserve is never shed, and what a rate limit or the
 * retry budget may have rejected is no overload. For one thread.
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
        // Full jitter: what is shed together must not be retried together.
        return OptionalDouble.of(random.nextDouble() * maxRetryAfter);
    }

    @Override public void rejected(RequestArrived arrival) {
        Plan plan = plans.get(arrival.plan());
        // A retry may have exhausted its node's retry budget, which proves nothing of the node's capacity.
        if (plan != null && plan.limitRate() <= 0 && !arrival.isRetry() && arrival.cell() >= 0
            && priorityWeight(arrival) >= 0) {
            shedder.rejected(ticker.now(), arrival.cell(), priorityWeight(arrival));
        }
    }

    private boolean isReserved(RequestArrived arrival) {
        double rate = plans.get(arrival.plan()).reserve() / Math.max(1, arrival.instances());
        return rate > 0 && reserves.take(ticker.now(), arrival.volume(), rate, arrival.units());
    }

    /** From 0 to 1, the same for the same object on all instances. */
    private static double admissionHash(String key) {
        CRC32C checksum = new CRC32C();
        checksum.update(String.valueOf(key).getBytes(StandardCharsets.UTF_8));
        return checksum.getValue() / 0x1p32;
    }

    /** Publishes this instance's overload reports and follows all; true if a threshold was set or removed. */
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

    /** The current thresholds by shard. */
    Map<Integer, AdmissionThreshold> thresholds() {
        return shedder.thresholds();
    }
}
