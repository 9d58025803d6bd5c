package kelphollow.retune;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlSettings.RequestClass;

/**
 * New classes and attempts, read at SIGHUP, and when they bind. New settings take effect {@link #SETTLE_MS} after
 * they are read; until then the stricter of old and new holds for each class that both name, and the smaller number
 * of attempts, so that neither side's rules are broken in between. A class that vanishes stays known: requests of it
 * that are open, or still arrive, keep it. Stateless.
 */
public final class SettingsReload {
    /** Milliseconds after reading at which new settings bind. */
    public static final double SETTLE_MS = 1_200;

    private SettingsReload() {}

    /**
     * What binds from a time on.
     *
     * @param at clock time in milliseconds
     * @param classes the classes that are known
     * @param maxAttempts attempts that a request may have
     */
    public record Step(double at, List<RequestClass> classes, int maxAttempts) {}

    /**
     * Settings in force.
     *
     * @param classes the classes that are known
     * @param maxAttempts attempts that a request may have
     */
    public record Tuning(List<RequestClass> classes, int maxAttempts) {}

    /**
     * Two steps: the stricter blend at {@code now}, the new settings {@link #SETTLE_MS} later. Classes that only the old
     * settings name are kept in both, unchanged.
     */
    public static List<Step> plan(Tuning old, Tuning next, double now) {
        Map<String, RequestClass> blend = new LinkedHashMap<>();
        Map<String, RequestClass> settled = new LinkedHashMap<>();
        for (RequestClass known : old.classes()) {
            blend.put(known.name(), known);
            settled.put(known.name(), known);
        }
        for (RequestClass added : next.classes()) {
            RequestClass before = blend.get(added.name());
            blend.put(added.name(), before == null ? added : stricter(before, added));
            settled.put(added.name(), added);
        }
        int blendAttempts = Math.min(old.maxAttempts(), next.maxAttempts());
        return List.of(new Step(now, new ArrayList<>(blend.values()), blendAttempts),
            new Step(now + SETTLE_MS, new ArrayList<>(settled.values()), next.maxAttempts()));
    }

    /**
     * The stricter of two forms of one class: the idempotency that forbids more retries, the narrower scope and the
     * shorter window of deduplication, the shorter deadline and latency objective; ordered if either is.
     *
     * @param old its form until now; {@code next}'s weights and late share are taken
     */
    public static RequestClass stricter(RequestClass old, RequestClass next) {
        return new RequestClass(old.name(), Math.min(old.latencyObjective(), next.latencyObjective()),
            Math.min(old.deadline(), next.deadline()), next.priorityWeight(), next.lateShare(),
            stricter(old.idempotency(), next.idempotency()), stricter(old.deduplicationScope(), next.deduplicationScope()),
            Math.min(old.idempotencyWindow(), next.idempotencyWindow()), old.ordered() || next.ordered(),
            old.streaming() && next.streaming());
    }

    /** The later of two constants: enums of settings are declared from loose to strict. */
    private static <E extends Enum<E>> E stricter(E a, E b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
