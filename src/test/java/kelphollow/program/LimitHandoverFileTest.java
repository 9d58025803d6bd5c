package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;

class LimitHandoverFileTest {
    @Test void levelsSurviveAndACutTextIsRefused() {
        Map<String, Double> levels = Map.of("00000003b4d60021", 12.5, "00000003b4d60022", -3.0);
        String text = LimitHandoverFile.text(levels);
        assertEquals(levels, LimitHandoverFile.read(text));
        for (int cut = 0; cut < text.length(); cut++) {
            String part = text.substring(0, cut);
            assertThrows(IllegalArgumentException.class, () -> LimitHandoverFile.read(part), part);
        }
        assertThrows(IllegalArgumentException.class, () -> LimitHandoverFile.read("v\nend\n"));
    }
}
