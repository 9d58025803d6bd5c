package kelphollow.retune;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlSettings.RequestClass;

/**
 * New classes and attempts, read at SIGHUP, and when they bind. New settings take effect {@link #SETTLE_MS} after
 * they are read; until then the stricter of old and new holds for each class that both name, and the smaller
 * number of attempts, so that neither side's rules are broken in between. A class that vanishes stays known:
 * requests of it that are under way, or still on their way, keep it. No I/O, no clock but the one passed in.
 */
public final class SettingsReload {
    /** Milliseconds after reading at which new settings bind. */
    public static final double SETTLE_MS = 1_200;

    private SettingsReload() {}

    /** What the module is told at {@code at}: the classes it knows and the attempts a request may have. */
    public record Step(double at, List<RequestClass> classes, int maxAttempts) {}

    /** The classes and attempts in force. */
    public record Tuning(List<RequestClass> classes, int maxAttempts) {}

    /**
     * Two steps: the stricter blend at once, the new settings from {@code now + SETTLE_MS}. Classes that only the
     * old settings name are kept in both, unchanged.
     */
    public static List<Step> plan(Tuning old, Tuning next, double now) {
        Map<String, RequestClass> blend = new LinkedHashMap<>();
        Map<String, RequestClass> after = new LinkedHashMap<>();
        old.classes().forEach(c -> {
            blend.put(c.name(), c);
            after.put(c.name(), c);
        });
        for (RequestClass c : next.classes()) {
            RequestClass before = blend.get(c.name());
            blend.put(c.name(), before == null ? c : stricter(before, c));
            after.put(c.name(), c);
        }
        return List.of(new Step(now, new ArrayList<>(blend.values()), Math.min(old.maxAttempts(), next.maxAttempts())),
            new Step(now + SETTLE_MS, new ArrayList<>(after.values()), next.maxAttempts()));
    }

    /**
     * The stricter of two forms of one class: the effect that forbids more repeats, the narrower group and window,
     * the shorter deadline and aim; ordered if either is.
     */
    public static RequestClass stricter(RequestClass a, RequestClass b) {
        return new RequestClass(a.name(), Math.min(a.latencyObjective(), b.latencyObjective()), Math.min(a.deadline(), b
            .deadline()), b.priorityWeight(),
            b.lateShare(), a.idempotency().compareTo(b.idempotency()) >= 0 ? a.idempotency() : b.idempotency(),
            a.deduplicationScope().compareTo(b.deduplicationScope()) >= 0 ? a.deduplicationScope() : b.deduplicationScope(),
            Math.min(a.idempotencyWindow(), b.idempotencyWindow()),
            a.ordered() || b.ordered(), a.streaming() && b.streaming());
    }
}
