package kelphollow.protocol.mgmt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Checks which lines of the management protocol are valid commands. */
class MgmtLineTest {
    private static MgmtLine parse(String text) {
        return MgmtLine.parse(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test void validLinesAreParsed() {
        assertEquals(new MgmtLine.Command(MgmtLine.Verb.STATUS, null), parse("status"));
        assertEquals(new MgmtLine.Command(MgmtLine.Verb.MAINTENANCE_ON, "s-1"), parse("maint-on s-1"));
        assertEquals(new MgmtLine.Command(MgmtLine.Verb.MAINTENANCE_OFF, "s-1"), parse(" maint-off  s-1 "));
    }

    @Test void invalidLinesAreRejectedWithAReason() {
        for (String invalid : new String[] {"", "   ", "stat", "STATUS", "status now", "maint-on", "maint-off",
            "maint-on a b", "maint-on end", "maint-on \u00e9", "status\u0000", "\u00ff\u00fe", "maint-on s\t1"}) {
            MgmtLine line = parse(invalid);

            assertInstanceOf(MgmtLine.Invalid.class, line, invalid);
            assertFalse(((MgmtLine.Invalid) line).reason().isEmpty(), invalid);
        }
    }
}
