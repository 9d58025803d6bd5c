package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;
import org.junit.jupiter.api.Test;

/** Validation of settings, and lookup of classes and plans by name. */
class SettingsCatalogTest {
    private static final ControlSettings SETTINGS = ControlHarness.settings(false, ControlHarness.RULES);

    private static ControlSettings with(int hosts, int maxAttempts, List<RequestClass> classes, List<Plan> plans) {
        return new ControlSettings(0, hosts, "a", 1, maxAttempts, 10, true, false, 1000, 2, 0.4, 0.05, classes, plans,
            SETTINGS.rules());
    }

    private static String error(int hosts, int maxAttempts, List<RequestClass> classes, List<Plan> plans) {
        ControlSettings settings = with(hosts, maxAttempts, classes, plans);
        return assertThrows(IllegalArgumentException.class, () -> new SettingsCatalog(settings)).getMessage();
    }

    @Test void classesAndPlansAreFoundByName() {
        SettingsCatalog catalog = new SettingsCatalog(SETTINGS);

        assertSame(ControlHarness.READ, catalog.requestClass("read"));
        assertSame(ControlHarness.LIMITED, catalog.plan("limited"));
        assertNull(catalog.requestClass("unknown"));
        assertNull(catalog.plan("unknown"));
        assertEquals(300, catalog.shortestObjective());
    }

    @Test void reloadedClassesReplaceOnlyThoseWithTheSameName() {
        SettingsCatalog catalog = new SettingsCatalog(SETTINGS);
        RequestClass read = new RequestClass("read", 100, 2000, 2, 0.1, ControlHarness.READ.idempotency(),
            ControlHarness.READ.deduplicationScope(), 0, false, false);

        catalog.reload(List.of(read));

        assertSame(read, catalog.requestClass("read"));
        assertSame(ControlHarness.WRITE, catalog.requestClass("write"));
        assertEquals(300, catalog.shortestObjective());
    }

    @Test void theErrorNamesTheSettingAndItsValue() {
        List<RequestClass> classes = SETTINGS.classes();
        List<Plan> plans = SETTINGS.plans();
        RequestClass noObjective = new RequestClass("r", 0, 2000, 2, 0.1, ControlHarness.READ.idempotency(),
            ControlHarness.READ.deduplicationScope(), 0, false, false);

        assertEquals("settings: instances is 0, must be at least 1", error(0, 1, classes, plans));
        assertEquals("settings: maxAttempts is 0, must be at least 1", error(1, 0, classes, plans));
        assertEquals("settings: classes is empty", error(1, 1, List.of(), plans));
        assertEquals("settings: plans is empty", error(1, 1, classes, List.of()));
        assertEquals("settings: aim of class r is 0.0, must be above 0", error(1, 1, List.of(noObjective), plans));
        assertEquals("settings: rate of plan p is 0.0, must be above 0",
            error(1, 1, classes, List.of(new Plan("p", 0, 0, 1, 1, 0, 0, 0))));
        assertEquals("settings: limit of plan p is negative: rate -1.0, burst 0.0",
            error(1, 1, classes, List.of(new Plan("p", 1, 0, 1, 1, -1, 0, 0))));
    }
}
