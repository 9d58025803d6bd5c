package kelphollow.retune;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlSettings.RequestClass;

/**
 * Schedules the change to request classes and a maximum number of attempts that were read at SIGHUP. New settings take
 * effect {@link #ACTIVATION_DELAY_MS} after they are read. Until then the stricter of the old and new settings holds for
 * each class that both name, and the smaller number of attempts, so that no request violates either. A class that the new
 * settings no longer name stays known, for its requests that are open or still arrive. Stateless.
 */
public final class SettingsReload {
    /** Milliseconds from reading new settings to their taking effect. */
    public static final double ACTIVATION_DELAY_MS = 1_200;

    private SettingsReload() {}

    /**
     * Settings that take effect at a given time.
     *
     * @param at clock time in milliseconds
     * @param classes the classes that are known
     * @param maxAttempts attempts that a request may have
     */
    public record Step(double at, List<RequestClass> classes, int maxAttempts) {}

    /**
     * The settings of requests that a reload may change.
     *
     * @param classes the classes that are known
     * @param maxAttempts attempts that a request may have
     */
    public record RequestSettings(List<RequestClass> classes, int maxAttempts) {}

    /**
     * Returns two steps: the stricter of both settings at {@code now}, the new settings {@link #ACTIVATION_DELAY_MS}
     * later. Both steps keep unchanged the classes that only the old settings name.
     */
    public static List<Step> schedule(RequestSettings old, RequestSettings next, double now) {
        Map<String, RequestClass> interim = new LinkedHashMap<>();
        Map<String, RequestClass> target = new LinkedHashMap<>();
        for (RequestClass known : old.classes()) {
            interim.put(known.name(), known);
            target.put(known.name(), known);
        }
        for (RequestClass added : next.classes()) {
            RequestClass before = interim.get(added.name());
            interim.put(added.name(), before == null ? added : stricter(before, added));
            target.put(added.name(), added);
        }
        int interimAttempts = Math.min(old.maxAttempts(), next.maxAttempts());
        return List.of(new Step(now, new ArrayList<>(interim.values()), interimAttempts),
            new Step(now + ACTIVATION_DELAY_MS, new ArrayList<>(target.values()), next.maxAttempts()));
    }

    /**
     * Returns the stricter of two definitions of one class: the idempotency that forbids more retries, the narrower scope
     * and the shorter window of deduplication, the shorter deadline and latency objective; ordered if either is,
     * streaming only if both are.
     *
     * @param old the definition until now
     * @param next the new definition; its priority weight and late share are taken
     */
    public static RequestClass stricter(RequestClass old, RequestClass next) {
        return new RequestClass(old.name(), Math.min(old.latencyObjective(), next.latencyObjective()),
            Math.min(old.deadline(), next.deadline()), next.priorityWeight(), next.lateShare(),
            stricter(old.idempotency(), next.idempotency()), stricter(old.deduplicationScope(), next.deduplicationScope()),
            Math.min(old.idempotencyWindow(), next.idempotencyWindow()), old.ordered() || next.ordered(),
            old.streaming() && next.streaming());
    }

    /** Returns the later of two constants: the enums of settings are declared from the loosest to the strictest. */
    private static <E extends Enum<E>> E stricter(E a, E b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
