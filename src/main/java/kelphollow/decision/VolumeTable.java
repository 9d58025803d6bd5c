package kelphollow.decision;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings.Plan;

/** The volumes that this instance has seen. Confined to the thread that drives {@link Control}. */
final class VolumeTable {
    /** From this number of volumes on those that are idle are forgotten. */
    static final int IDLE_KEPT_BELOW = 1_000;
    /** A volume without requests for this time is idle, in milliseconds. */
    static final double IDLE_AFTER_MS = 60_000;

    private final DecisionContext context;
    private final RequestSizes sizes;
    private final Map<String, Volume> byName = new LinkedHashMap<>();
    /** Tokens that an earlier process has left, until their volume is seen. */
    private final Map<String, Double> restoredTokens = new HashMap<>();

    VolumeTable(DecisionContext context, RequestSizes sizes) {
        this.context = context;
        this.sizes = sizes;
    }

    void restore(Map<String, Double> tokens) {
        restoredTokens.putAll(tokens);
    }

    /** The volume of a request, with its limit shared by the number of instances that the request names. */
    Volume of(RequestArrived arrival, Plan plan) {
        String name = arrival.volume() == null ? "" : arrival.volume();
        int instances = Math.max(1, arrival.instances());
        double now = context.now();
        if (byName.size() >= IDLE_KEPT_BELOW && !byName.containsKey(name)) {
            forgetIdle();
        }
        Volume volume = byName.computeIfAbsent(name, n -> new Volume(plan, instances, context, sizes));
        volume.limiter.setInstances(instances, now);
        if (!restoredTokens.isEmpty()) {
            Double tokens = restoredTokens.remove(name);
            if (tokens != null) {
                volume.limiter.restore(tokens, now);
            }
        }
        return volume;
    }

    /**
     * Guards memory against names that clients make up; the bucket of a volume that was idle for so long is
     * full.
     */
    private void forgetIdle() {
        double now = context.now();
        byName.values().removeIf(v -> v.tagged.isEmpty() && now - v.lastArrivalAt > IDLE_AFTER_MS);
    }

    /** All volumes, the one seen first in front. */
    Collection<Volume> all() {
        return byName.values();
    }

    int size() {
        return byName.size();
    }

    /** The units left in this instance's share of each limited volume, less what is owed of its loan. */
    Map<String, Double> limitTokens() {
        Map<String, Double> tokens = new TreeMap<>();
        byName.forEach((name, volume) -> {
            if (volume.plan.limitRate() > 0) {
                tokens.put(name, volume.limiter.tokensLessLoan(context.now()));
            }
        });
        return tokens;
    }
}
