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
import kelphollow.overload.LoadShedder;
import kelphollow.routing.AdmissionFilter;
import kelphollow.routing.Ticker;

/**
 * Wires {@link LoadShedder} to the core and the digest: a request's worth is its class's times its plan's price; what is inside this
 * instance's part of its volume's reserve is never held back, and what a limit or
 * the bound of repeats may have turned away is no claim.
 */
final class SheddingFilter implements AdmissionFilter {
    /** The subject in the digest: by shard the highest worth that an instance turns away. */
    static final String REFUSED = "refused";

    /** This instance's part of a volume's reserve: a second of it at most. */
    private static final class Reserve {
        double units, at;
    }

    // From so many volumes on, those whose reserve is full again are forgotten.
    private static final int MANY = 1_000;
    private final Ticker ticker;
    private final Random random;
    private final double longestAdvice;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Plan> plans = new HashMap<>();
    private final Map<String, Reserve> reserves = new HashMap<>();
    private final LoadShedder giveWay = new LoadShedder();

    SheddingFilter(ControlSettings settings, Ticker ticker, Random random) {
        this.ticker = ticker;
        this.random = random;
        this.longestAdvice = settings.maxRetryAfter();
        settings.classes().forEach(c -> classes.put(c.name(), c));
        settings.plans().forEach(p -> plans.put(p.name(), p));
    }

    private double worth(RequestArrived arrival) {
        RequestClass kind = classes.get(arrival.requestClass());
        Plan plan = plans.get(arrival.plan());
        return kind == null || plan == null ? -1 : kind.priorityWeight() * plan.price();
    }

    @Override public OptionalDouble retryAfter(RequestArrived arrival) {
        double worth = worth(arrival);
        if (worth < 0 || arrival.cell() < 0 || isReserved(arrival)
            || giveWay.admits(ticker.now(), arrival.cell(), worth, lot(arrival.key()))) {
            return OptionalDouble.empty();
        }
        // Full jitter: what is shed together must not come again together.
        return OptionalDouble.of(random.nextDouble() * longestAdvice);
    }

    @Override public void rejected(RequestArrived arrival) {
        Plan plan = plans.get(arrival.plan());
        // A marked retry may have met the bound of its node's repeats, which says nothing of the node's room.
        if (plan != null && plan.limitRate() <= 0 && !arrival.isRetry() && arrival.cell() >= 0 && worth(arrival) >= 0) {
            giveWay.rejected(ticker.now(), arrival.cell(), worth(arrival));
        }
    }

    private boolean isReserved(RequestArrived arrival) {
        double rate = plans.get(arrival.plan()).reserve() / Math.max(1, arrival.hosts()), now = ticker.now();
        if (rate <= 0) {
            return false;
        }
        if (reserves.size() > MANY) {
            reserves.values().removeIf(r -> now - r.at > 1_000);
        }
        Reserve r = reserves.computeIfAbsent(arrival.volume(), v -> new Reserve());
        r.units = r.at == 0 ? rate : Math.min(rate, r.units + (now - r.at) / 1_000 * rate);
        r.at = now;
        if (r.units < arrival.units()) {
            return false;
        }
        r.units -= arrival.units();
        return true;
    }

    /** The same for the same object at all instances. */
    private static double lot(String key) {
        CRC32C sum = new CRC32C();
        sum.update(String.valueOf(key).getBytes(StandardCharsets.UTF_8));
        return sum.getValue() / 0x1p32;
    }

    /** Tells this instance's claims and follows all; true if a cut came or went. */
    boolean look(double now, Digest digest, String self) {
        Map<Integer, Double> own = giveWay.claims(now);
        for (String shard : digest.on(REFUSED, now).getOrDefault(self, Map.of()).keySet()) {
            if (!own.containsKey(Integer.parseInt(shard))) digest.unsay(REFUSED, shard);
        }
        own.forEach((shard, worth) -> digest.say(REFUSED, Integer.toString(shard), worth));
        Map<Integer, Double> highest = new TreeMap<>(own);
        digest.on(REFUSED, now).forEach((teller, claims) -> claims.forEach((shard, worth) -> {
            if (!teller.equals(self) && shard.matches("\\d{1,9}")) highest.merge(Integer.parseInt(shard), worth, Math::max);
        }));
        return giveWay.step(now, highest);
    }

    Map<Integer, LoadShedder.Cut> cuts() {
        return giveWay.cuts();
    }
}
