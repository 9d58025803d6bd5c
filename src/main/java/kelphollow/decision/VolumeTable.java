package kelphollow.decision;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings.Plan;

/**
 * Volumes for which this instance has received requests. Confined to the thread that drives {@link Control}.
 */
final class VolumeTable {
    /** Number of volumes from which on idle ones are evicted. */
    static final int IDLE_EVICTION_THRESHOLD = 1_000;
    /** Largest number of volumes; a request of a further one is rejected unless another can be evicted. */
    static final int MAX_VOLUMES = 10_000;
    /** Number of volumes that cannot be evicted after which the search for one that can ends. */
    private static final int MAX_UNEVICTABLE = 64;
    /** Time without requests after which a volume is idle, in milliseconds. */
    static final double IDLE_AFTER_MS = 60_000;

    private final DecisionContext context;
    private final RequestSizes sizes;
    /** In the order of their last request, least recent first. */
    private final Map<String, Volume> byName = new LinkedHashMap<>(16, 0.75f, true);
    /** Tokens that a previous process left, kept until the first request of their volume. */
    private final Map<String, Double> restoredTokens = new HashMap<>();
    /** Tokens handed over to the next process, by volume; null before that. */
    private Map<String, Double> handedOver;
    /** Time from which the limits of volumes without restored tokens are refilled. */
    private double refilledFrom;

    VolumeTable(DecisionContext context, RequestSizes sizes) {
        this.context = context;
        this.sizes = sizes;
        this.refilledFrom = context.startedAt();
    }

    /** Refills the limits of volumes that have had no request from this time on only. */
    void refillFrom(double time) {
        refilledFrom = time;
    }

    /**
     * Hands the limits of all volumes over to the next process, those of volumes without a request so far
     * included.
     *
     * @param kept tokens by volume that this process keeps
     */
    void handOver(Map<Volume, Double> kept) {
        Map<String, Double> tokens = new TreeMap<>(restoredTokens);
        byName.forEach((name, volume) -> {
            if (volume.plan.limitRate() > 0) {
                tokens.put(name, volume.limiter.handOver(kept.getOrDefault(volume, 0.0), context.now()));
            }
        });
        restoredTokens.clear();
        handedOver = tokens;
    }

    /** The tokens that were handed over to the next process, by volume. */
    Map<String, Double> handedOver() {
        return handedOver;
    }

    /** Restores the rate limit tokens that a previous process left, by volume. */
    void restore(Map<String, Double> tokens) {
        restoredTokens.putAll(tokens);
    }

    /**
     * The volume of a request; its limit is shared by the number of instances given in the request.
     * Null if the volume is not in memory and there is no room for it.
     */
    Volume of(RequestArrived arrival, Plan plan) {
        String name = arrival.volume() == null ? "" : arrival.volume();
        int instances = Math.max(1, arrival.instances());
        double now = context.now();
        Volume volume = byName.get(name);
        if (volume == null) {
            if (!makeRoom(now)) {
                return null;
            }
            volume = create(plan, instances);
            byName.put(name, volume);
        }
        volume.lastRequestAt = now;
        volume.limiter.setInstances(instances, now);
        if (!restoredTokens.isEmpty()) {
            Double tokens = restoredTokens.remove(name);
            if (tokens != null) {
                volume.limiter.restore(tokens, now);
            }
        }
        return volume;
    }

    private Volume create(Plan plan, int instances) {
        Volume volume = new Volume(plan, instances, refilledFrom, context, sizes);
        if (handedOver != null) {
            volume.limiter.handOver(0, context.now());
        }
        return volume;
    }

    /**
     * Evicts volumes, so that names invented by clients do not fill memory. Takes constant time for each
     * new volume, since the least recently used ones come first. Returns whether there is room for one more.
     */
    private boolean makeRoom(double now) {
        if (byName.size() < IDLE_EVICTION_THRESHOLD) {
            return true;
        }
        int unevictableLeft = MAX_UNEVICTABLE;
        for (Iterator<Volume> eldest = byName.values().iterator(); unevictableLeft > 0 && eldest.hasNext();) {
            Volume volume = eldest.next();
            boolean idle = now - volume.lastRequestAt > IDLE_AFTER_MS;
            if (!idle && byName.size() < MAX_VOLUMES) {
                break;
            }
            if (volume.isEvictable()) {
                eldest.remove();
            } else {
                unevictableLeft--;
            }
        }
        return byName.size() < MAX_VOLUMES;
    }

    int size() {
        return byName.size();
    }

    /** Tokens left in this instance's share of each limited volume, less borrowed tokens not yet repaid. */
    Map<String, Double> limitTokens() {
        Map<String, Double> tokens = new TreeMap<>();
        byName.forEach((name, volume) -> {
            if (volume.plan.limitRate() > 0) {
                tokens.put(name, volume.limiter.tokensNetOfBorrowed(context.now()));
            }
        });
        return tokens;
    }
}
