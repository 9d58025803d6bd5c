package kelphollow.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class MaintenanceSetTest {
    private final MaintenanceSet maintenance = new MaintenanceSet();

    @Test void oneRemovalEndsTheMaintenanceHoweverOftenItWasStarted() {
        assertTrue(maintenance.add("s-1"));
        assertFalse(maintenance.add("s-1"));
        assertTrue(maintenance.contains("s-1"));

        assertTrue(maintenance.remove("s-1"));
        assertFalse(maintenance.contains("s-1"));
        assertFalse(maintenance.remove("s-1"));
    }

    @Test void theTextFormIsReadBackAndATruncatedOneIsRejected() {
        Set<String> nodes = Set.of("s-b", "s-a");
        String text = MaintenanceSet.format(nodes);

        assertEquals("s-a\ns-b\nend\n", text);
        assertEquals(nodes, MaintenanceSet.parse(text));
        assertEquals(Set.of(), MaintenanceSet.parse(MaintenanceSet.format(Set.of())));
        assertThrows(IllegalArgumentException.class, () -> MaintenanceSet.parse("s-a\ns-b\n"));
        assertThrows(IllegalArgumentException.class, () -> MaintenanceSet.parse("s a\nend\n"));
        for (int length = 0; length < text.length(); length++) {
            String truncated = text.substring(0, length);
            assertThrows(IllegalArgumentException.class, () -> MaintenanceSet.parse(truncated), truncated);
        }
    }

    @Test void theChangeToAnotherSetNamesNodesToAddAndToRemove() {
        maintenance.add("s-1");
        maintenance.add("s-2");

        MaintenanceSet.Change change = maintenance.changeTo(Set.of("s-2", "s-3"));

        assertEquals(List.of("s-3"), change.added());
        assertEquals(List.of("s-1"), change.removed());
        assertTrue(maintenance.changeTo(Set.of("s-1", "s-2")).isEmpty());
    }

    @Test void idsArePrintableAndBoundedInLength() {
        assertTrue(MaintenanceSet.isValidId("s-5be2a07c"));
        assertFalse(MaintenanceSet.isValidId(""));
        assertFalse(MaintenanceSet.isValidId("end"));
        assertFalse(MaintenanceSet.isValidId("a b"));
        assertFalse(MaintenanceSet.isValidId("x".repeat(MaintenanceSet.MAX_ID_LENGTH + 1)));
        assertFalse(MaintenanceSet.isValidId("\u00e9"));
    }
}
