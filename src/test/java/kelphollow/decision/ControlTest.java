package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings.Plan;
import org.junit.jupiter.api.Test;

/** Validation of settings, unknown names, and the memory bound on volumes. */
class ControlTest {
    @Test void requestWithUnknownPlanIsRejectedAndOthersAreSent() {
        ControlHarness scheduler = ControlHarness.ready();
        scheduler.request("bad", "read", "nothing", "v", 1, 0);
        scheduler.request("good", "read", "free", "v", 1, 0);
        assertEquals(List.of("rejected bad"), scheduler.answered());
        assertEquals(List.of("good"), scheduler.sent());
    }

    @Test void invalidSettingIsNamed() {
        ControlSettings s = ControlHarness.settings(false, ControlHarness.RULES);
        ControlSettings none = new ControlSettings(0, 2, "a", 1, 4, 10, true, false, 1000, 2, 0.4, 0.05, List.of(), s
            .plans(), s.rules());
        assertTrue(assertThrows(IllegalArgumentException.class, () -> new Control(none, 1, 0))
            .getMessage().contains("classes"));
        ControlSettings negative = new ControlSettings(0, 2, "a", 1, 4, 10, true, false, 1000, 2, 0.4, 0.05, s.classes(),
            List.of(new Plan("p", -1, 0, 1, 1, 0, 0, 0)), s.rules());
        assertTrue(assertThrows(IllegalArgumentException.class, () -> new Control(negative, 1, 0))
            .getMessage().contains("rate of plan p"));
    }

    @Test void idleVolumesAreRemovedOnceThereAreMany() {
        ControlHarness scheduler = ControlHarness.ready();
        for (int i = 0; i < VolumeTable.IDLE_EVICTION_THRESHOLD; i++) {
            String name = "volume-" + i;
            scheduler.on(new RequestArrived(name, "read", "free", "k", scheduler.now + 1, name, 1, 99, 1));
        }
        scheduler.advanceTo(scheduler.now + 10);
        assertEquals(VolumeTable.IDLE_EVICTION_THRESHOLD, scheduler.control.volumeCount());
        scheduler.now += VolumeTable.IDLE_AFTER_MS + 100;
        scheduler.request("r", "read", "free", "v", 1, 0);
        assertEquals(1, scheduler.control.volumeCount());
    }
}
