package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import kelphollow.routing.SiblingList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The file by which the processes of an upgrade exchange their endpoint lists. */
class SiblingListFileTest {
    private static final SiblingList LIST = new SiblingList("127.0.0.1:8500", 41, Map.of("s-1", 0.0, "s-2", 1.7e12 + 0.5));
    @TempDir
    Path folder;

    @Test void aListIsReadOnceAsItWasWritten() throws IOException {
        SiblingListFile written = new SiblingListFile(folder.resolve("list"));
        SiblingListFile read = new SiblingListFile(folder.resolve("list"));
        assertNull(read.readChange(), "nothing was written");

        written.write(LIST);

        assertEquals(LIST, read.readChange());
        assertNull(read.readChange());
    }

    @Test void aTextThatIsTruncatedAnywhereIsRejected() {
        String text = SiblingListFile.text(LIST);
        for (int length = 0; length < text.length(); length++) {
            String truncated = text.substring(0, length);
            assertThrows(IOException.class, () -> SiblingListFile.parse(truncated), truncated);
        }
    }

    @Test void aNodeWhoseNameWouldBreakALineIsLeftOut() throws IOException {
        SiblingList list = new SiblingList("source", 1, Map.of("a\tb", 0.0, "c\nend\n", 0.0, "d", 0.0));

        assertEquals(Map.of("d", 0.0), SiblingListFile.parse(SiblingListFile.text(list)).usable());
    }
}
