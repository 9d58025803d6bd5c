package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** The file format by which the tokens of limits are handed over to the next process. */
class LimitHandoverFileTest {
    private static final Map<String, Double> TOKENS = Map.of("00000003b4d60021", 12.5, "00000003b4d60022", -3.0);

    @Test void tokensAreReadAsTheyWereWritten() {
        assertEquals(TOKENS, LimitHandoverFile.read(LimitHandoverFile.text(TOKENS)));
    }

    @Test void aTextThatIsTruncatedAnywhereIsRejected() {
        String text = LimitHandoverFile.text(TOKENS);
        for (int length = 0; length < text.length(); length++) {
            String truncated = text.substring(0, length);
            assertThrows(IllegalArgumentException.class, () -> LimitHandoverFile.read(truncated), truncated);
        }
    }

    /** Guards against an upgrade whose new process cannot read the hand-over, since a client chose such a name. */
    @Test void namesOfVolumesWithBlanksAreReadAsTheyWereWritten() {
        Map<String, Double> tokens = Map.of("no volume", 12.5, " b ", -3.0);

        assertEquals(tokens, LimitHandoverFile.read(LimitHandoverFile.text(tokens)));
    }

    @Test void aLineWithoutANumberIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> LimitHandoverFile.read("v\nend\n"));
    }
}
