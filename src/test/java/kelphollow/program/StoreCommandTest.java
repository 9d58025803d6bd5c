package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import kelphollow.store.Batch;
import kelphollow.store.FolderDisk;
import kelphollow.store.Durability;
import kelphollow.store.Store;
import kelphollow.store.StoreOptions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The operator's store tools on real folders: their output, their exit codes, and what they must not modify. */
class StoreCommandTest {
    @TempDir
    Path folder;
    private Path a;
    private Path b;
    private String out;
    private String err;

    @BeforeEach void fill() throws Exception {
        a = folder.resolve("a");
        b = folder.resolve("b");
        try (Store store = open()) {
            for (int i = 0; i < 200; i++) {
                put(store, "parts", "key" + i % 20, "value" + i);
            }
            put(store, "limits", "volume", "{\"level\":7}");
            store.write(new Batch().put("raw", new byte[] {(byte) 0xff}, new byte[] {1}), Durability.SYNCED, Runnable::run,
                fault -> assertNull(fault));
        }
    }

    private Store open() throws Exception {
        StoreOptions options = StoreOptions.DEFAULTS.withSegmentBytes(4_096).withInline(true);
        return Store.open(new FolderDisk(a), new FolderDisk(b), options,
            () -> 1_000);
    }

    private static void put(Store store, String table, String key, String value) {
        store.write(new Batch().put(table, key.getBytes(), value.getBytes()), Durability.SYNCED, Runnable::run,
            fault -> assertNull(fault));
    }

    private int run(String... words) {
        ByteArrayOutputStream o = new ByteArrayOutputStream();
        ByteArrayOutputStream e = new ByteArrayOutputStream();
        List<String> line = new ArrayList<>(List.of("store"));
        line.addAll(List.of(words));
        int code = Main.run(line, new PrintStream(o, true), new PrintStream(e, true));
        out = o.toString();
        err = e.toString();
        return code;
    }

    private int tool(String name, String... more) {
        List<String> words = new ArrayList<>(List.of(name));
        words.addAll(List.of(more));
        words.addAll(List.of(a.toString(), b.toString()));
        return run(words.toArray(new String[0]));
    }

    private Path segment(Path in) throws Exception {
        try (var files = Files.list(in)) {
            return files.filter(f -> f.toString().endsWith(".seg")).sorted().findFirst().orElseThrow();
        }
    }

    private void flip(Path file, int at) throws Exception {
        byte[] bytes = Files.readAllBytes(file);
        bytes[at] ^= 1;
        Files.write(file, bytes);
    }

    @Test void anIntactStoreIsInspectedVerifiedAndDumped() {
        assertEquals(0, tool("verify"), out + err);
        assertTrue(out.startsWith("state=sound segments="), out);
        assertEquals(0, tool("inspect"));
        assertTrue(out.startsWith("store id="), out);
        assertTrue(out.contains("table name=parts keys=20"), out);
        assertTrue(out.contains("sealed=false"), out);
        assertEquals(0, tool("dump"));
        assertTrue(out.contains("{\"table\":\"parts\",\"key\":\"key3\",\"value\":\"value183\"}"), out);
        assertTrue(out.contains("{\"table\":\"raw\",\"key_base64\":\"/w==\",\"value\":\"\\u0001\"}"), out);
        assertEquals(0, tool("dump", "--table", "limits"));
        assertEquals("{\"table\":\"limits\",\"key\":\"volume\",\"value\":\"{\\\"level\\\":7}\"}", out.strip());
    }

    @Test void compactionReclaimsDeadRecords() {
        assertEquals(0, tool("compact"));
        var figures = java.util.regex.Pattern.compile("compacted bytes=(\\d+) to=(\\d+) .*").matcher(out.strip());
        assertTrue(figures.matches(), out);
        assertTrue(Long.parseLong(figures.group(2)) < Long.parseLong(figures.group(1)) / 2, out);
        assertEquals(0, tool("verify"));
        assertEquals(0, tool("dump", "--table", "parts"));
        assertEquals(20, out.lines().count());
    }

    @Test void damageOfOneCopyIsReportedAndThenRepaired() throws Exception {
        flip(segment(b), 200);
        byte[] damaged = Files.readAllBytes(segment(b));
        assertEquals(StoreTool.DIFFERS, tool("verify"));
        assertTrue(out.startsWith("differs " + segment(b)), out);
        assertArrayEquals(damaged, Files.readAllBytes(segment(b)), "verify changes nothing");
        assertEquals(0, tool("repair"));
        assertTrue(out.contains("repaired " + segment(b)), out);
        assertTrue(out.endsWith("state=sound repaired=1\n"), out);
        assertEquals(0, tool("verify"));
    }

    @Test void damageOfBothCopiesIsRepairedOnlyWithAcceptLoss() throws Exception {
        flip(segment(a), 200);
        flip(segment(b), 200);
        assertEquals(StoreTool.DAMAGED, tool("verify"));
        assertTrue(out.startsWith("damaged " + segment(a) + " offset="), out);
        assertEquals(StoreTool.DAMAGED, tool("repair"));
        assertEquals(StoreTool.DAMAGED, tool("dump"));
        assertTrue(err.contains("damaged " + segment(a) + " offset="), err);
        assertEquals(0, tool("repair", "--accept-loss"));
        assertTrue(out.contains("damaged ") && out.contains("state=repaired_with_loss"), out);
        assertEquals(0, tool("verify"));
        assertEquals(0, tool("dump", "--table", "life"));
        assertTrue(out.contains("\"key\":\"lost\""), "the loss is recorded: a missing record no longer proves anything");
    }

    @Test void aStoreInUseIsNotModified() throws Exception {
        try (Store held = open()) {
            for (String name : List.of("inspect", "verify", "dump", "compact", "repair")) {
                assertEquals(StoreTool.LOCKED, tool(name), name);
                assertTrue(err.contains("is held by a running program"), err);
            }
            assertNull(held.fault());
        }
    }

    @Test void foldersThatAreNoStoreAreNotModified() throws Exception {
        Path other = Files.createDirectories(folder.resolve("other"));
        Files.writeString(other.resolve("mine.db"), "somebody's");
        for (String name : List.of("inspect", "verify", "dump", "compact", "repair")) {
            assertEquals(StoreTool.UNUSABLE, run(name, other.toString(), other.resolve("none").toString()), name);
        }
        assertEquals("somebody's", Files.readString(other.resolve("mine.db")));
        try (var files = Files.list(other)) {
            assertEquals(1, files.count());
        }
        assertEquals(Main.USAGE, run("verify", folder.resolve("x").toString(), folder.resolve("y").toString()));
        assertTrue(err.contains("store.folders: neither"), err);
        assertEquals(Main.USAGE, run("verify"));
        assertEquals(Main.USAGE, run("mend", a.toString(), b.toString()));
    }

    @Test void anUnknownFormatVersionIsRejectedWithTheFilesName() throws Exception {
        byte[] bytes = Files.readAllBytes(a.resolve("MANIFEST"));
        bytes[11] = 9;
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(bytes, 0, bytes.length - 4);
        java.nio.ByteBuffer.wrap(bytes).putInt(bytes.length - 4, (int) crc.getValue());
        Files.write(a.resolve("MANIFEST"), bytes);
        assertEquals(StoreTool.UNUSABLE, tool("verify"));
        assertTrue(err.contains(a.resolve("MANIFEST") + " has a format version other than 1"), err);
    }

    @Test void theFoldersMayComeFromTheConfigurationFile() throws Exception {
        Path file = folder.resolve("objects.json");
        Files.writeString(file, "{\"store\":{\"folders\":[\"" + a + "\",\"" + b + "\"]}}");
        assertEquals(0, run("verify", "--config", file.toString()));
        Files.writeString(file, "{\"store\":{\"folders\":[\"" + a + "\"]}}");
        assertEquals(Main.USAGE, run("verify", "--config", file.toString()));
        assertTrue(err.contains("store.folders must be a list of two folders"), err);
    }
}
