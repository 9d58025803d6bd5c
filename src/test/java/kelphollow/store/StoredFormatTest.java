package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Stores that an earlier version wrote are read, recovered and compacted as that version did, and the same writes produce
 * the same bytes. Detects format changes that the reader and the writer of one version share, which a round trip does not
 * reveal.
 */
class StoredFormatTest {
    /** The contents at {@link RecordedStore#OPENED}, in the form of {@link RecordedFolders#contents}. */
    static final String CONTENTS = "contents.txt";
    /** The contents at {@link RecordedStore#ALL_EXPIRED}. */
    static final String CONTENTS_LATER = "contents-later.txt";
    /** The findings of an inspection before the store is opened. */
    static final String CHECKED = "checked.txt";
    /** The findings of an opening, and the files after the store was closed cleanly. */
    static final String RECOVERED = "recovered.txt";
    /** The files after a compaction of all sealed segments. */
    static final String COMPACTED = "compacted.txt";

    private static final String MANIFEST = "MANIFEST";
    private static final int STORE_ID_AT = 16;
    private static final int STORE_ID_END = 32;
    private static final int CHECKSUM_BYTES = 4;

    @TempDir
    Path folder;

    @ParameterizedTest
    @EnumSource void anOpeningReadsTheRecordedContents(RecordedStore recorded) throws Exception {
        for (boolean checkAll : new boolean[] {false, true}) {
            StoreOptions options = RecordedStore.OPTIONS.withCheckAll(checkAll);
            Path copy = RecordedFolders.copy(recorded.folder(), folder.resolve(checkAll ? "all" : "hints"));

            List<String> found = contents(copy, options, RecordedStore.OPENED);

            assertEquals(RecordedFolders.text(recorded.folder(), CONTENTS), found);
        }
    }

    @ParameterizedTest
    @EnumSource void recordedKeysExpire(RecordedStore recorded) throws Exception {
        RecordedFolders.copy(recorded.folder(), folder);

        List<String> found = contents(folder, RecordedStore.OPTIONS, RecordedStore.ALL_EXPIRED);

        assertEquals(RecordedFolders.text(recorded.folder(), CONTENTS_LATER), found);
    }

    @ParameterizedTest
    @EnumSource void anInspectionReportsTheRecordedFindingsAndChangesNothing(RecordedStore recorded) throws Exception {
        RecordedFolders.copy(recorded.folder(), folder);

        List<String> found = checked(folder);

        assertEquals(RecordedFolders.text(recorded.folder(), CHECKED), found);
        RecordedFolders.assertSameFiles(RecordedFolders.of(recorded.folder()), folder);
    }

    @ParameterizedTest
    @EnumSource void recoveryProducesTheRecordedFiles(RecordedStore recorded) throws Exception {
        RecordedFolders.copy(recorded.folder(), folder);

        List<String> found = recovered(folder);

        assertEquals(RecordedFolders.text(recorded.folder(), RECOVERED), found);
    }

    @ParameterizedTest
    @EnumSource void compactionProducesTheRecordedFiles(RecordedStore recorded) throws Exception {
        RecordedFolders.copy(recorded.folder(), folder);

        List<String> found = compacted(folder);

        assertEquals(RecordedFolders.text(recorded.folder(), COMPACTED), found);
    }

    /** The store starts as a copy with the recorded store's id, so all bytes are compared. */
    @ParameterizedTest
    @EnumSource void theSameWritesProduceTheSameFiles(RecordedStore recorded) throws Exception {
        RecordedFolders.copy(RecordedFolders.NEW, folder);

        recorded.write(folder, () -> {});

        RecordedFolders.assertSameFiles(RecordedFolders.of(recorded.folder()), folder);
    }

    /** The store id is random, so it and the checksum that covers it are left out of the comparison. */
    @Test void aNewStoreHasTheRecordedManifestExceptForItsId() throws Exception {
        open(folder, RecordedStore.OPTIONS, RecordedStore.START).close();

        for (String copy : RecordedFolders.COPIES) {
            Path recorded = RecordedFolders.of(RecordedFolders.NEW).resolve(copy).resolve(MANIFEST);
            assertArrayEquals(withoutStoreId(recorded), withoutStoreId(folder.resolve(copy).resolve(MANIFEST)), copy);
        }
    }

    private static byte[] withoutStoreId(Path manifest) throws IOException {
        byte[] bytes = Files.readAllBytes(manifest);
        Arrays.fill(bytes, STORE_ID_AT, STORE_ID_END, (byte) 0);
        Arrays.fill(bytes, bytes.length - CHECKSUM_BYTES, bytes.length, (byte) 0);
        return bytes;
    }

    static Store open(Path store, StoreOptions options, long now) throws IOException, StoreFault {
        return Store.open(first(store), second(store), options, () -> now);
    }

    private static Disk first(Path store) {
        return new FolderDisk(store.resolve("a"));
    }

    private static Disk second(Path store) {
        return new FolderDisk(store.resolve("b"));
    }

    /** Opens a store at this time and returns its contents. */
    static List<String> contents(Path store, StoreOptions options, long now) throws IOException, StoreFault {
        try (Store open = open(store, options, now)) {
            return RecordedFolders.contents(open);
        }
    }

    /** Inspects a store; one line each for the findings, the store, its segments and its tables. */
    static List<String> checked(Path store) throws IOException, StoreFault {
        Inspection inspection = Store.inspect(first(store), second(store), RecordedStore.OPTIONS, ProgressListener.NONE);
        List<String> lines = findings(inspection.report(), store);
        lines.add("damaged=" + inspection.report().isDamaged());
        lines.add("store id=" + inspection.store() + " generation=" + inspection.generation() + " sequence="
            + inspection.lastSequence() + " time=" + inspection.time() + " bytes=" + inspection.bytes() + " live="
            + inspection.liveBytes());
        for (Inspection.SegmentSummary segment : inspection.segments()) {
            lines.add("segment id=" + segment.id() + " bytes=" + segment.bytes() + " operations=" + segment.operations()
                + " live=" + segment.liveBytes() + " sealed=" + segment.sealed() + " hint=" + segment.hasHint());
        }
        inspection.tables().forEach((table, keys) -> lines.add("table name=" + table + " keys=" + keys));
        return lines;
    }

    /** Opens and closes a store; returns the findings and the remaining files. */
    static List<String> recovered(Path store) throws IOException, StoreFault {
        List<String> lines;
        try (Store open = open(store, RecordedStore.OPTIONS, RecordedStore.OPENED)) {
            lines = findings(open.report(), store);
        }
        lines.addAll(RecordedFolders.listing(store));
        return lines;
    }

    /** Opens a store, compacts all sealed segments and closes it; returns the remaining files. */
    static List<String> compacted(Path store) throws IOException, StoreFault {
        try (Store open = open(store, RecordedStore.OPTIONS, RecordedStore.OPENED)) {
            open.compactAll();
        }
        return RecordedFolders.listing(store);
    }

    private static List<String> findings(IntegrityReport report, Path store) {
        List<String> lines = new ArrayList<>();
        report.findings().forEach(finding -> lines.add(finding.toString().replace(store + "/", "").replace(store.toString(),
            "")));
        return lines;
    }
}
