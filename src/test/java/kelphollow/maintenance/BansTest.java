package kelphollow.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class BansTest {
    @Test void twoCallsOutAndOneBackFreeTheNode() {
        Bans bans = new Bans();
        assertTrue(bans.take("s-1"));
        assertFalse(bans.take("s-1"));
        assertTrue(bans.holds("s-1"));
        assertTrue(bans.release("s-1"));
        assertFalse(bans.holds("s-1"));
        assertFalse(bans.release("s-1"));
    }

    @Test void theTextFormSurvivesAndACutOneIsRefused() {
        Set<String> nodes = Set.of("s-b", "s-a");
        assertEquals("s-a\ns-b\nend\n", Bans.text(nodes));
        assertEquals(nodes, Bans.read(Bans.text(nodes)));
        assertEquals(Set.of(), Bans.read(Bans.text(Set.of())));
        assertThrows(IllegalArgumentException.class, () -> Bans.read("s-a\ns-b\n"));
        assertThrows(IllegalArgumentException.class, () -> Bans.read("s a\nend\n"));
        String whole = Bans.text(nodes);
        for (int cut = 0; cut < whole.length(); cut++) {
            String part = whole.substring(0, cut);
            assertThrows(IllegalArgumentException.class, () -> Bans.read(part), part);
        }
    }

    @Test void followsWhatAnotherProcessWrote() {
        Bans bans = new Bans();
        bans.take("s-1");
        bans.take("s-2");
        Bans.Change change = bans.towards(Set.of("s-2", "s-3"));
        assertEquals(List.of("s-3"), change.take());
        assertEquals(List.of("s-1"), change.release());
        assertTrue(bans.towards(Set.of("s-1", "s-2")).none());
    }

    @Test void idsAreShortPrintableWords() {
        assertTrue(Bans.validId("s-5be2a07c"));
        assertFalse(Bans.validId(""));
        assertFalse(Bans.validId("end"));
        assertFalse(Bans.validId("a b"));
        assertFalse(Bans.validId("x".repeat(Bans.LONGEST_ID + 1)));
        assertFalse(Bans.validId("\u00e9"));
    }
}
