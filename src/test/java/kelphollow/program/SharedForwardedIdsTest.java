package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import kelphollow.protocol.resp.RecentForwardedIds;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Two processes of an upgrade, and those that follow each other, share the ids of what may have run. */
class SharedForwardedIdsTest {
    @TempDir
    Path folder;

    @Test void onlyOneOfTwoProcessesRegistersAnId() {
        SharedForwardedIds old = new SharedForwardedIds(folder);
        SharedForwardedIds next = new SharedForwardedIds(folder);

        assertTrue(old.add("id/1"));

        assertTrue(next.contains("id/1"));
        assertFalse(next.add("id/1"));
        assertFalse(old.add("id/1"));
        assertTrue(next.add("id/2"));
    }

    @Test void aRemovedIdMayBeForwardedByEither() {
        SharedForwardedIds old = new SharedForwardedIds(folder);
        SharedForwardedIds next = new SharedForwardedIds(folder);
        old.add("id");

        old.remove("id");

        assertFalse(next.contains("id"));
        assertTrue(next.add("id"));
    }

    @Test void idsOutliveTheirProcess() {
        new SharedForwardedIds(folder).add("id");

        assertTrue(new SharedForwardedIds(folder).contains("id"));
    }

    @Test void theOldestIdsAreRemovedFromTheFolder() throws Exception {
        SharedForwardedIds ids = new SharedForwardedIds(folder);
        for (int i = 0; i <= RecentForwardedIds.CAPACITY; i++) {
            ids.add("id" + i);
        }

        assertFalse(ids.contains("id0"));
        assertTrue(ids.contains("id1"));
        try (Stream<Path> files = Files.list(folder)) {
            assertEquals(RecentForwardedIds.CAPACITY, files.count());
        }
    }

    @Test void aFolderThatFailsLeavesTheIdsOfThisProcess() throws Exception {
        Path file = Files.writeString(folder.resolve("file"), "in place of a folder");
        SharedForwardedIds ids = new SharedForwardedIds(file);

        assertTrue(ids.add("id"));

        assertTrue(ids.contains("id"));
        assertFalse(ids.add("id"));
    }
}
