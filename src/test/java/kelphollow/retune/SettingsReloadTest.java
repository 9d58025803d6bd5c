package kelphollow.retune;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.RequestClass;
import org.junit.jupiter.api.Test;

class SettingsReloadTest {
    private static RequestClass kind(String name, double deadline, Idempotency effect) {
        return new RequestClass(name, deadline / 4, deadline, 1, 0.1, effect, DeduplicationScope.ALL, 500, false, false);
    }

    private static Map<String, RequestClass> byName(List<RequestClass> classes) {
        return classes.stream().collect(Collectors.toMap(RequestClass::name, Function.identity()));
    }

    @Test void theStricterBindsAtOnceAndTheNewAfterItsTime() {
        SettingsReload.Tuning old = new SettingsReload.Tuning(List.of(kind("read", 2000, Idempotency.IDEMPOTENT), kind(
            "gone", 900, Idempotency.IDEMPOTENT)), 3);
        SettingsReload.Tuning next = new SettingsReload.Tuning(List.of(kind("read", 3000, Idempotency.NOT_IDEMPOTENT), kind(
            "new", 800, Idempotency.IDEMPOTENCY_KEY)), 1);
        List<SettingsReload.Step> steps = SettingsReload.plan(old, next, 10_000);
        SettingsReload.Step now = steps.get(0), then = steps.get(1);
        assertEquals(10_000, now.at());
        assertEquals(1, now.maxAttempts(), "attempts that drop drop at once");
        Map<String, RequestClass> blend = byName(now.classes());
        assertEquals(Idempotency.NOT_IDEMPOTENT, blend.get("read").idempotency(), "a stricter effect binds at once");
        assertEquals(2000, blend.get("read").deadline(), "and the shorter deadline");
        assertEquals(Idempotency.IDEMPOTENCY_KEY, blend.get("new").idempotency());
        assertEquals(900, blend.get("gone").deadline(), "a class that vanishes stays known for those that lag");
        assertEquals(10_000 + SettingsReload.SETTLE_MS, then.at());
        assertEquals(3000, byName(then.classes()).get("read").deadline(), "after its time the new form alone");
        assertEquals(1, then.maxAttempts());
    }

    @Test void attemptsThatRiseRiseOnlyAfterTheirTime() {
        SettingsReload.Tuning old = new SettingsReload.Tuning(List.of(kind("read", 2000, Idempotency.IDEMPOTENT)), 1);
        SettingsReload.Tuning next = new SettingsReload.Tuning(List.of(kind("read", 2000, Idempotency.IDEMPOTENT)), 4);
        List<SettingsReload.Step> steps = SettingsReload.plan(old, next, 0);
        assertEquals(1, steps.get(0).maxAttempts());
        assertEquals(4, steps.get(1).maxAttempts());
    }

    @Test void aLooserEffectWaitsForItsTime() {
        RequestClass strict = kind("w", 1000, Idempotency.NOT_IDEMPOTENT);
        RequestClass loose = kind("w", 1000, Idempotency.IDEMPOTENT);
        assertEquals(Idempotency.NOT_IDEMPOTENT, SettingsReload.stricter(strict, loose).idempotency());
        assertEquals(Idempotency.NOT_IDEMPOTENT, SettingsReload.stricter(loose, strict).idempotency());
    }
}
