package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The maintenance file between the two processes of an upgrade. Guards against an acknowledged change that is lost. */
@Timeout(30)
class MaintenanceFileTest {
    private static final int CHANGES = 50;

    @TempDir
    Path folder;

    private MaintenanceFile process() {
        return new MaintenanceFile(folder.resolve("bans"));
    }

    @Test void aChangeKeepsWhatTheOtherProcessHasChangedMeanwhile() throws Exception {
        MaintenanceFile old = process();
        MaintenanceFile next = process();
        old.change("n1", true);

        assertEquals(Set.of("n1", "n2"), next.change("n2", true));
        assertEquals(Set.of("n2"), old.change("n1", false));

        assertEquals(Set.of("n2"), next.readChange());
        assertNull(next.readChange());
    }

    @Test void changesOfTwoProcessesAtOnceAreAllKept() throws Exception {
        ExecutorService processes = Executors.newFixedThreadPool(2);
        try {
            Future<?> a = processes.submit(() -> changeAll(process(), "a"));
            Future<?> b = processes.submit(() -> changeAll(process(), "b"));
            a.get();
            b.get();
        } finally {
            processes.shutdownNow();
        }
        Set<String> expected = new TreeSet<>();
        for (int i = 0; i < CHANGES; i++) {
            expected.add("a" + i);
            expected.add("b" + i);
        }
        assertEquals(expected, process().readChange());
    }

    private static Void changeAll(MaintenanceFile file, String prefix) {
        for (int i = 0; i < CHANGES; i++) {
            try {
                file.change(prefix + i, true);
            } catch (IOException e) {
                while (file.readChange() == null) {
                    // The other process had the lock for too long: the change is written by a later poll.
                }
            }
        }
        return null;
    }

    /** A file that was left incomplete, as by a full folder, does not remove what is known. */
    @Test void anIncompleteFileIsReplacedByWhatIsKnown() throws Exception {
        MaintenanceFile file = process();
        file.change("n1", true);
        Files.writeString(folder.resolve("bans"), "n1\nn");

        assertEquals(Set.of("n1", "n2"), file.change("n2", true));
    }

    /** The change was acknowledged as not kept; it is neither undone by the other process's nor forgotten. */
    @Test void aChangeThatCannotBeWrittenIsWrittenLater() throws Exception {
        MaintenanceFile file = process();
        MaintenanceFile other = process();
        try (FileChannel channel = FileChannel.open(folder.resolve("bans.lock"), StandardOpenOption.CREATE,
            StandardOpenOption.WRITE); FileLock stopped = channel.lock()) {
            assertThrows(IOException.class, () -> file.change("n1", true));
            assertNull(file.readChange());
        }
        other.change("n2", true);

        assertEquals(Set.of("n1", "n2"), file.readChange());
        assertEquals(Set.of("n1", "n2"), other.readChange());
    }
}
