package kelphollow.retune;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import kelphollow.decision.ControlApi.Effect;
import kelphollow.decision.ControlApi.Group;
import kelphollow.decision.ControlApi.RequestClass;
import org.junit.jupiter.api.Test;

class RetuneTest {
    private static RequestClass kind(String name, double deadline, Effect effect) {
        return new RequestClass(name, deadline / 4, deadline, 1, 0.1, effect, Group.ALL, 500, false, false);
    }

    private static Map<String, RequestClass> byName(List<RequestClass> classes) {
        return classes.stream().collect(Collectors.toMap(RequestClass::name, Function.identity()));
    }

    @Test void theStricterBindsAtOnceAndTheNewAfterItsTime() {
        Retune.Tuning old = new Retune.Tuning(List.of(kind("read", 2000, Effect.SAFE), kind("gone", 900, Effect.SAFE)), 3);
        Retune.Tuning next = new Retune.Tuning(List.of(kind("read", 3000, Effect.UNSAFE), kind("new", 800, Effect.KEYED)), 1);
        List<Retune.Step> steps = Retune.plan(old, next, 10_000);
        Retune.Step now = steps.get(0), then = steps.get(1);
        assertEquals(10_000, now.at());
        assertEquals(1, now.maxAttempts(), "attempts that drop drop at once");
        Map<String, RequestClass> blend = byName(now.classes());
        assertEquals(Effect.UNSAFE, blend.get("read").effect(), "a stricter effect binds at once");
        assertEquals(2000, blend.get("read").deadline(), "and the shorter deadline");
        assertEquals(Effect.KEYED, blend.get("new").effect());
        assertEquals(900, blend.get("gone").deadline(), "a class that vanishes stays known for those that lag");
        assertEquals(10_000 + Retune.SETTLE_MS, then.at());
        assertEquals(3000, byName(then.classes()).get("read").deadline(), "after its time the new form alone");
        assertEquals(1, then.maxAttempts());
    }

    @Test void attemptsThatRiseRiseOnlyAfterTheirTime() {
        Retune.Tuning old = new Retune.Tuning(List.of(kind("read", 2000, Effect.SAFE)), 1);
        Retune.Tuning next = new Retune.Tuning(List.of(kind("read", 2000, Effect.SAFE)), 4);
        List<Retune.Step> steps = Retune.plan(old, next, 0);
        assertEquals(1, steps.get(0).maxAttempts());
        assertEquals(4, steps.get(1).maxAttempts());
    }

    @Test void aLooserEffectWaitsForItsTime() {
        RequestClass strict = kind("w", 1000, Effect.UNSAFE);
        RequestClass loose = kind("w", 1000, Effect.SAFE);
        assertEquals(Effect.UNSAFE, Retune.stricter(strict, loose).effect());
        assertEquals(Effect.UNSAFE, Retune.stricter(loose, strict).effect());
    }
}
