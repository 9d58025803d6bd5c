package kelphollow.retune;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.retune.SettingsReload.Step;
import kelphollow.retune.SettingsReload.RequestSettings;
import org.junit.jupiter.api.Test;

class SettingsReloadTest {
    private static RequestClass requestClass(String name, double deadline, Idempotency idempotency) {
        return new RequestClass(name, deadline / 4, deadline, 1, 0.1, idempotency, DeduplicationScope.ALL, 500, false,
            false);
    }

    private static Map<String, RequestClass> byName(List<RequestClass> classes) {
        return classes.stream().collect(Collectors.toMap(RequestClass::name, Function.identity()));
    }

    @Test void stricterSettingsApplyAtOnceAndNewOnesAfterTheDelay() {
        RequestSettings old = new RequestSettings(List.of(requestClass("read", 2000, Idempotency.IDEMPOTENT),
            requestClass("gone", 900, Idempotency.IDEMPOTENT)), 3);
        RequestSettings next = new RequestSettings(List.of(requestClass("read", 3000, Idempotency.NOT_IDEMPOTENT),
            requestClass("new", 800, Idempotency.IDEMPOTENCY_KEY)), 1);

        List<Step> steps = SettingsReload.schedule(old, next, 10_000);

        Step now = steps.get(0);
        assertEquals(10_000, now.at());
        assertEquals(1, now.maxAttempts(), "fewer attempts apply at once");
        Map<String, RequestClass> interim = byName(now.classes());
        assertEquals(Idempotency.NOT_IDEMPOTENT, interim.get("read").idempotency(),
            "the stricter idempotency applies at once");
        assertEquals(2000, interim.get("read").deadline(), "the shorter deadline applies at once");
        assertEquals(Idempotency.IDEMPOTENCY_KEY, interim.get("new").idempotency());
        assertEquals(900, interim.get("gone").deadline(), "a removed class stays known for its open requests");
        Step target = steps.get(1);
        assertEquals(10_000 + SettingsReload.ACTIVATION_DELAY_MS, target.at());
        assertEquals(3000, byName(target.classes()).get("read").deadline(), "the new deadline applies after the delay");
        assertEquals(1, target.maxAttempts());
    }

    @Test void moreAttemptsApplyOnlyAfterTheDelay() {
        RequestSettings old = new RequestSettings(List.of(requestClass("read", 2000, Idempotency.IDEMPOTENT)), 1);
        RequestSettings next = new RequestSettings(List.of(requestClass("read", 2000, Idempotency.IDEMPOTENT)), 4);

        List<Step> steps = SettingsReload.schedule(old, next, 0);

        assertEquals(1, steps.get(0).maxAttempts());
        assertEquals(4, steps.get(1).maxAttempts());
    }

    @Test void theStricterIdempotencyAppliesWhicheverIsOlder() {
        RequestClass strict = requestClass("w", 1000, Idempotency.NOT_IDEMPOTENT);
        RequestClass loose = requestClass("w", 1000, Idempotency.IDEMPOTENT);

        assertEquals(Idempotency.NOT_IDEMPOTENT, SettingsReload.stricter(strict, loose).idempotency());
        assertEquals(Idempotency.NOT_IDEMPOTENT, SettingsReload.stricter(loose, strict).idempotency());
    }
}
