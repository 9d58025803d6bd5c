package kelphollow.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.recovery.RecoveredOutcomes;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.store.FolderDisk;
import kelphollow.store.RecordedFolders;
import kelphollow.store.Store;
import kelphollow.store.StoreFault;
import kelphollow.store.StoreOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A ledger that an earlier version wrote in three incarnations is read as that version read it, and the same calls write the
 * same bytes. Guards tables, keys, fields and field order of the records against format changes that writer and reader share
 * and that a round trip would not detect.
 */
class StoredRecordsTest {
    /** The recorded store. */
    static final String LEDGER = "ledger";
    /** Tables, keys and values of the store, as {@link RecordedFolders#contents}. */
    static final String CONTENTS = "contents.txt";
    /** The records that the ledger reads, one per line. */
    static final String RECORDS = "records.txt";

    /** The clock of the whole test, in Unix milliseconds. */
    private static final long NOW = 1_700_000_000_000L;
    /** Small segments, so that the records fill several; no threads, so that the bytes depend only on the calls. */
    private static final StoreOptions OPTIONS = StoreOptions.DEFAULTS.withSegmentBytes(1_024).withInline(true);
    private static final double OUTCOME_WINDOW_MS = 3_600_000;
    private static final double SETTLE_TIME_MS = 60_000;
    private static final Consumer<StoreFault> ASSERT_SYNCED = fault -> assertEquals(null, fault);

    @TempDir
    Path folder;

    @Test void readsTheRecordsOfAnEarlierVersion() throws Exception {
        RecordedFolders.copy(LEDGER, folder);

        List<String> found = records(folder);

        assertEquals(RecordedFolders.text(LEDGER, RECORDS), found);
    }

    @Test void readsTheContentsOfAnEarlierVersion() throws Exception {
        RecordedFolders.copy(LEDGER, folder);

        List<String> found = contents(folder);

        assertEquals(RecordedFolders.text(LEDGER, CONTENTS), found);
    }

    /** Starts from the recorded store's identity, so that all bytes can be compared. */
    @Test void theSameCallsGiveTheSameFiles() throws Exception {
        RecordedFolders.copy(RecordedFolders.NEW, folder);

        write(folder);

        RecordedFolders.assertSameFiles(RecordedFolders.of(LEDGER), folder);
    }

    private static Store open(Path store) throws IOException, StoreFault {
        return Store.open(new FolderDisk(store.resolve("a")), new FolderDisk(store.resolve("b")), OPTIONS, () -> NOW);
    }

    static List<String> contents(Path store) throws IOException, StoreFault {
        try (Store open = open(store)) {
            return RecordedFolders.contents(open);
        }
    }

    // ---------------------------------------------------------------- writing

    /** Writes three incarnations of a gateway to a folder that holds a copy of {@link RecordedFolders#NEW}. */
    static void write(Path store) throws IOException, StoreFault {
        try (Ledger first = Ledger.open(open(store), Runnable::run)) {
            writeParts(first.parts());
            writeCompletions(first.completions());
            writeOutcomes(first.outcomes());
            writeEndpoints(first.endpoints());
            first.limits().recordFinalTokens(new TreeMap<>(Map.of("volume-1", 12.5, "volume-2", -3.0, "volume-3", 0.0)),
                NOW);
        }
        try (Ledger second = Ledger.open(open(store), Runnable::run)) {
            second.limits().take();
            second.parts().recordUpload("upload-of-life-2", NOW);
            second.parts().recordIntent("upload-of-life-2", 1, NOW, ASSERT_SYNCED);
            second.reserveEpochsUpTo(41);
        }
        try (Store withLoss = open(store)) {
            Ledger.recordLoss(withLoss, NOW);
        }
        try (Ledger third = Ledger.open(open(store), Runnable::run)) {
            third.completions().recordIntent("upload-of-life-3", NOW, ASSERT_SYNCED);
            third.outcomes().recordIntent("request-of-life-3", NOW, OUTCOME_WINDOW_MS, ASSERT_SYNCED);
            third.limits().recordFinalTokens(new TreeMap<>(Map.of("volume-1", 7.25, "volume-4", 1.0e6)), NOW + 0.5);
        }
    }

    private static void writeParts(PartRecords parts) {
        parts.recordUpload("upload-a", NOW);
        parts.recordIntent("upload-a", 1, NOW, ASSERT_SYNCED);
        parts.recordStored("upload-a", 1, 5_242_880, "0cc175b9c0f1b6a831c399e269772661", "\"tag-1\"", NOW);
        parts.recordIntent("upload-a", 10_000, NOW, ASSERT_SYNCED);
        parts.recordIntent("upload-a", 3, NOW, ASSERT_SYNCED);
        parts.removeIntent("upload-a", 3);
        parts.recordUpload("upload-b", NOW);
        parts.recordStored("upload-b", 1, 1, "92eb5ffee6ae2fec3ad71c777531578f", "\"tag-2\"", NOW);
        parts.removeUpload("upload-b", List.of(1));
        parts.recordUpload("upload-c", NOW);
        parts.recordIntent("upload-c", 1, NOW, ASSERT_SYNCED);
        parts.removeUploadSynced("upload-c", List.of(1), ASSERT_SYNCED);
        parts.recordUpload("upload-d", NOW);
        parts.recordStored("upload-d", 7, 9_007_199_254_740_991L, null, "\"größe\"", NOW);
        parts.markIncomplete("upload-d");
        parts.recordUpload("upload#e", NOW);
        parts.recordIntent("upload#e", 2, NOW, ASSERT_SYNCED);
    }

    private static void writeCompletions(CompletionRecords completions) {
        completions.recordIntent("upload-f", NOW, ASSERT_SYNCED);
        completions.recordResponse("upload-f", new CompletionRecords.RecordedResponse("digest-of-parts", 200,
            "application/xml",
            "<Result>\n  <ETag>&quot;größe&quot;</ETag>\n</Result>"), NOW);
        completions.recordResponse("upload-g", new CompletionRecords.RecordedResponse("digest-of-parts", 409, null, ""),
            NOW);
        completions.recordIntent("upload-h", NOW, ASSERT_SYNCED);
        completions.recordIntent("upload-i", NOW, ASSERT_SYNCED);
        completions.removeIntent("upload-i");
    }

    private static void writeOutcomes(OutcomeRecords outcomes) {
        outcomes.recordIntent("request-1", NOW, OUTCOME_WINDOW_MS, ASSERT_SYNCED);
        outcomes.recordIntent("request-2", NOW, OUTCOME_WINDOW_MS, ASSERT_SYNCED);
        outcomes.recordOutcome("request-2", "201 \"tag-3\"", NOW + 0.75, OUTCOME_WINDOW_MS, ASSERT_SYNCED);
        outcomes.recordIntent("request-3", NOW, OUTCOME_WINDOW_MS, ASSERT_SYNCED);
        outcomes.removeIntent("request-3");
    }

    private static void writeEndpoints(EndpointRecords endpoints) {
        ResolvedEndpoint healthy = new ResolvedEndpoint(new Endpoint("node-1", "zone-a", 0, EndpointState.HEALTHY, 0),
            new InetSocketAddress("127.0.0.1", 9_000));
        ResolvedEndpoint draining = new ResolvedEndpoint(new Endpoint("node-2", "zone-b", 1, EndpointState.DRAINING, NOW
            - 1_000),
            new InetSocketAddress("192.0.2.7", 65_535));
        ResolvedEndpoint gone = new ResolvedEndpoint(new Endpoint("node-3", "zone-b", 255, EndpointState.REMOVED, NOW - 0.5),
            new InetSocketAddress("192.0.2.8", 1));
        endpoints.received(List.of(healthy), NOW);
        endpoints.received(List.of(healthy), NOW + 1);
        endpoints.received(List.of(healthy, draining, gone), NOW + 2.5);
    }

    // ---------------------------------------------------------------- reading

    /** Returns the records that the next incarnation reads, one per line. */
    static List<String> records(Path store) throws IOException, StoreFault {
        List<String> lines = new ArrayList<>();
        try (Ledger ledger = Ledger.open(open(store), Runnable::run)) {
            lines.add("life epoch=" + ledger.epoch() + " lost_up_to=" + ledger.lostUpTo());
            readParts(ledger.parts(), lines);
            ledger.completions().read((upload, found, epoch, answer) -> lines.add("completion " + upload + " "
                + word(found) + " epoch=" + epoch + (answer == null ? "" : " print=" + answer.partListDigest() + " status="
                    + answer.status() + " type=" + answer.type() + " body=" + answer.body().replace("\n", "\\n"))));
            readOutcomes(ledger, lines);
            readEndpoints(ledger.endpoints(), lines);
            new TreeMap<>(ledger.limits().take()).forEach((volume, saved) -> lines.add("limit " + volume + " level="
                + saved.tokens() + " at=" + saved.at() + " clean=" + saved.clean()));
        }
        return lines;
    }

    private static void readParts(PartRecords parts, List<String> lines) throws IOException, StoreFault {
        parts.read(new PartRecords.Reader() {
            @Override public void upload(String upload, long sinceEpoch) {
                lines.add("upload " + upload + " epoch=" + sinceEpoch);
            }

            @Override public void part(String upload, int number, RecoveredOutcomes.StoredRecord found, long epoch,
                long size,
                String md5, String etag) {
                lines.add("part " + upload + " " + number + " " + word(found) + " epoch=" + epoch + " size=" + size
                    + " md5=" + md5 + " etag=" + etag);
            }
        });
    }

    private static void readOutcomes(Ledger ledger, List<String> lines) throws IOException, StoreFault {
        RecoveredOutcomes recovered = new RecoveredOutcomes(ledger.epoch(), NOW, SETTLE_TIME_MS, ledger.lostUpTo());
        for (String identity : List.of("request-1", "request-2", "request-3", "request-of-life-3")) {
            OutcomeRecords.Known known = ledger.outcomes().find(identity, recovered, true);
            String word = switch (known.recovered().kind()) {
                case RAN -> "ran";
                case NEVER_RAN -> "never ran";
                case UNKNOWN -> "unknown";
                case RUNNING -> "running";
            };
            lines.add("outcome " + identity + " " + word + " " + known.outcome());
        }
    }

    private static void readEndpoints(EndpointRecords endpoints, List<String> lines) throws IOException, StoreFault {
        EndpointRecords.Saved saved = endpoints.read();
        lines.add("nodes at=" + saved.at());
        for (ResolvedEndpoint member : saved.members()) {
            Endpoint entry = member.endpoint();
            String phase = switch (entry.state()) {
                case HEALTHY -> "healthy";
                case DRAINING -> "draining";
                case REMOVED -> "gone";
            };
            lines.add("node " + entry.node() + " zone=" + entry.zone() + " cell=" + entry.cell() + " " + phase + " born="
                + entry.startedAt() + " at " + member.address().getHostString() + ":" + member.address().getPort());
        }
    }

    private static String word(RecoveredOutcomes.StoredRecord found) {
        return switch (found) {
            case NONE -> "nothing";
            case INTENT -> "intent";
            case OUTCOME -> "outcome";
        };
    }
}
