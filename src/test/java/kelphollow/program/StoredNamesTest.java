package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import kelphollow.ledger.CompletionRecords;
import kelphollow.ledger.Ledger;
import kelphollow.names.RecordedNames;
import kelphollow.protocol.discovery.DiscoveryListParser;
import kelphollow.protocol.json.Json;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.store.FolderDisk;
import kelphollow.store.Store;
import kelphollow.store.StoreOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tables, keys and values of the records that a gateway persists, as {@code store dump} prints them. */
class StoredNamesTest {
    /** Far enough ahead that no record has expired when it is dumped. */
    private static final double NOW = 4_000_000_000_000.0;
    private static final double WINDOW = 60_000;
    private static final String NODES = "{\"seq\":1,\"hosts\":["
        + "{\"host\":\"s-1\",\"dial\":\"127.0.0.2:7101\",\"site\":\"east\",\"block\":1,\"health\":\"ready\",\"born_ms\":5},"
        + "{\"host\":\"s-2\",\"dial\":\"127.0.0.2:7102\",\"site\":\"east\",\"block\":2,\"health\":\"draining\"},"
        + "{\"host\":\"s-3\",\"dial\":\"127.0.0.2:7103\",\"site\":\"west\",\"block\":3,\"health\":\"gone\"}]}";

    @TempDir
    Path folder;

    private Ledger open() throws Exception {
        Store store = Store.open(new FolderDisk(folder.resolve("first")), new FolderDisk(folder.resolve("second")),
            StoreOptions.DEFAULTS.withInline(true), System::currentTimeMillis);
        return Ledger.open(store, Runnable::run);
    }

    private static List<ResolvedEndpoint> members() throws Exception {
        return DiscoveryListParser.parse(Json.parse(NODES)).endpoints();
    }

    @Test void recordsAreWrittenAsRecorded() throws Exception {
        try (Ledger ledger = open()) {
            ledger.endpoints().received(members(), NOW);
            ledger.limits().recordFinalTokens(Map.of("volume", 7.5), NOW);
            ledger.parts().recordUpload("upload", NOW);
            ledger.parts().recordIntent("upload", 1, NOW, fault -> assertNull(fault));
            ledger.parts().recordStored("upload", 2, 99, "an md5", "an etag", NOW);
            ledger.completions().recordIntent("upload", NOW, fault -> assertNull(fault));
            ledger.completions().recordResponse("other", new CompletionRecords.RecordedResponse("print", 200, "text/xml",
                "body"), NOW);
            ledger.outcomes().recordIntent("first", NOW, WINDOW, fault -> assertNull(fault));
            ledger.outcomes().recordOutcome("second", "done", NOW, WINDOW, fault -> assertNull(fault));
        }

        String[] dump = CommandNamesTest.run("store", "dump", folder.resolve("first").toString(),
            folder.resolve("second").toString());

        assertEquals("0", dump[0], dump[2]);
        assertEquals(String.join("\n", RecordedNames.read("stored-records.txt")),
            dump[1].lines().sorted().collect(Collectors.joining("\n")));
    }

    @Test void aStoredListIsReadBack() throws Exception {
        try (Ledger ledger = open()) {
            ledger.endpoints().received(members(), NOW);
        }
        try (Ledger ledger = open()) {
            assertEquals(members(), ledger.endpoints().read().members());
        }
    }
}
