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
 * Stores that an earlier program wrote are read, recovered and compacted as that program did it, and the same writes give
 * the same bytes. Guards the stored format against changes that the writer and the reader of one program share.
 */
class StoredFormatTest {
    /** What a store holds when it is opened at {@link RecordedStore#OPENED}, as {@link RecordedFolders#contents}. */
    static final String CONTENTS = "contents.txt";
    /** The same once all that expires has expired. */
    static final String CONTENTS_LATER = "contents-later.txt";
    /** What a check of both copies finds before anything is opened. */
    static final String CHECKED = "checked.txt";
    /** What an opening repairs, and the files after it and an orderly end. */
    static final String RECOVERED = "recovered.txt";
    /** The files after a compaction of all sealed segments. */
    static final String COMPACTED = "compacted.txt";

    private static final String MANIFEST = "MANIFEST";
    private static final int IDENTITY_AT = 16;
    private static final int IDENTITY_END = 32;
    private static final int CHECKSUM_BYTES = 4;

    @TempDir
    Path folder;

    @ParameterizedTest
    @EnumSource void readsWhatWasRecorded(RecordedStore recorded) throws Exception {
        for (boolean byReadingAll : new boolean[] {false, true}) {
            StoreOptions options = RecordedStore.OPTIONS.withCheckAll(byReadingAll);
            Path copy = RecordedFolders.copy(recorded.folder(), folder.resolve(byReadingAll ? "all" : "hints"));

            List<String> found = contents(copy, options, RecordedStore.OPENED);

            assertEquals(RecordedFolders.text(recorded.folder(), CONTENTS), found);
        }
    }

    @ParameterizedTest
    @EnumSource void expiresWhatWasRecordedToExpire(RecordedStore recorded) throws Exception {
        RecordedFolders.copy(recorded.folder(), folder);

        List<String> found = contents(folder, RecordedStore.OPTIONS, RecordedStore.ALL_EXPIRED);

        assertEquals(RecordedFolders.text(recorded.folder(), CONTENTS_LATER), found);
    }

    @ParameterizedTest
    @EnumSource void aCheckFindsWhatWasRecordedAndChangesNothing(RecordedStore recorded) throws Exception {
        RecordedFolders.copy(recorded.folder(), folder);

        List<String> found = checked(folder);

        assertEquals(RecordedFolders.text(recorded.folder(), CHECKED), found);
        RecordedFolders.assertSameFiles(RecordedFolders.of(recorded.folder()), folder);
    }

    @ParameterizedTest
    @EnumSource void anOpeningLeavesTheRecordedFiles(RecordedStore recorded) throws Exception {
        RecordedFolders.copy(recorded.folder(), folder);

        List<String> found = recovered(folder);

        assertEquals(RecordedFolders.text(recorded.folder(), RECOVERED), found);
    }

    @ParameterizedTest
    @EnumSource void aCompactionLeavesTheRecordedFiles(RecordedStore recorded) throws Exception {
        RecordedFolders.copy(recorded.folder(), folder);

        List<String> found = compacted(folder);

        assertEquals(RecordedFolders.text(recorded.folder(), COMPACTED), found);
    }

    /** The identity is not drawn here but that of the recorded store, so that no byte need be left out. */
    @ParameterizedTest
    @EnumSource void theSameWritesGiveTheSameFiles(RecordedStore recorded) throws Exception {
        RecordedFolders.copy(RecordedFolders.NEW, folder);

        recorded.write(folder, () -> {});

        RecordedFolders.assertSameFiles(RecordedFolders.of(recorded.folder()), folder);
    }

    /** The identity is drawn at random: it and the checksum over it are left out. */
    @Test void aNewStoreHasTheRecordedManifestButForItsIdentity() throws Exception {
        open(folder, RecordedStore.OPTIONS, RecordedStore.START).close();

        for (String copy : RecordedFolders.COPIES) {
            Path recorded = RecordedFolders.of(RecordedFolders.NEW).resolve(copy).resolve(MANIFEST);
            assertArrayEquals(withoutIdentity(recorded), withoutIdentity(folder.resolve(copy).resolve(MANIFEST)), copy);
        }
    }

    private static byte[] withoutIdentity(Path manifest) throws IOException {
        byte[] bytes = Files.readAllBytes(manifest);
        Arrays.fill(bytes, IDENTITY_AT, IDENTITY_END, (byte) 0);
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

    /** What a store holds at a time. */
    static List<String> contents(Path store, StoreOptions options, long now) throws IOException, StoreFault {
        try (Store open = open(store, options, now)) {
            return RecordedFolders.contents(open);
        }
    }

    /** What a check finds: the findings, the store, its segments and its tables, a line each. */
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

    /** Opens and closes a store: what was repaired, and the files that are left. */
    static List<String> recovered(Path store) throws IOException, StoreFault {
        List<String> lines;
        try (Store open = open(store, RecordedStore.OPTIONS, RecordedStore.OPENED)) {
            lines = findings(open.report(), store);
        }
        lines.addAll(RecordedFolders.listing(store));
        return lines;
    }

    /** Opens a store, compacts all of it and closes it: the files that are left. */
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
