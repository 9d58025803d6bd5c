package kelphollow.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.store.FolderDisk;
import kelphollow.store.Snapshot;
import kelphollow.store.Store;
import kelphollow.store.StoreFault;
import kelphollow.store.StoreOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The stored form of records must not change, and records must be read back. */
class RecordBytesTest {
    private static final double NOW = 1_000_000;
    private static final String ADDRESS = "\"host\":\"10.0.0.1\",\"port\":80";
    @TempDir
    Path folder;
    private Store store;
    private Ledger ledger;

    @BeforeEach void open() throws IOException, StoreFault {
        store = Store.open(new FolderDisk(folder.resolve("a")), new FolderDisk(folder.resolve("b")),
            StoreOptions.DEFAULTS.withInline(true), () -> (long) NOW);
        ledger = Ledger.open(store, Runnable::run);
    }

    @AfterEach void close() {
        ledger.close();
    }

    /** Returns all records of a table, as text. */
    private Map<String, String> table(String name) throws IOException, StoreFault {
        Map<String, String> records = new TreeMap<>();
        try (Snapshot snapshot = store.snapshot()) {
            snapshot.scan(name, new byte[0], (key, value) -> {
                records.put(text(key), text(value));
                return true;
            });
        }
        return records;
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Test void anIncarnationIsStoredAsItsEpoch() throws Exception {
        assertEquals(Map.of("epoch", "{\"n\":1}"), table("life"));
    }

    @Test void aLossIsStoredWithItsTimeAndTheLastEpochItMayAffect() throws Exception {
        Ledger.recordLoss(store, 5);

        assertEquals(Map.of("epoch", "{\"n\":1000001}", "lost", "{\"at\":5,\"epoch\":1000001}"), table("life"));
        Ledger next = Ledger.open(store, Runnable::run);
        assertEquals(1_000_001, next.lostUpTo());
        assertEquals(1_000_002, next.epoch());
    }

    @Test void anUploadAndItsPartsAreStoredWithTheirEpoch() throws Exception {
        ledger.parts().recordUpload("u1", NOW);
        ledger.parts().recordIntent("u1", 1, NOW, fault -> assertNull(fault));
        ledger.parts().recordStored("u1", 2, 12_345_678_901L, "md5", "\"etag\"", NOW);

        assertEquals(Map.of("u1", "{\"epoch\":1}"), table("uploads"));
        assertEquals(Map.of("u1#1", "{\"epoch\":1}",
            "u1#2", "{\"epoch\":1,\"size\":12345678901,\"md5\":\"md5\",\"etag\":\"\\\"etag\\\"\"}"), table("parts"));
    }

    @Test void aCompletionIsStoredWithItsResponse() throws Exception {
        ledger.completions().recordIntent("u1", NOW, fault -> assertNull(fault));
        ledger.completions().recordResponse("u2", new CompletionRecords.RecordedResponse("print", 200, "application/xml",
            "<a/>"), NOW);
        ledger.completions().recordResponse("u3", new CompletionRecords.RecordedResponse("print", 200, null, "<a/>"), NOW);

        assertEquals(Map.of("u1", "{\"epoch\":1}",
            "u2", "{\"epoch\":1,\"print\":\"print\",\"status\":200,\"type\":\"application/xml\",\"body\":\"<a/>\"}",
            "u3", "{\"epoch\":1,\"print\":\"print\",\"status\":200,\"body\":\"<a/>\"}"), table("completions"));
    }

    @Test void limitsAreStoredWithTheEpochThatEnded() throws Exception {
        ledger.limits().recordFinalTokens(Map.of("v1", 12.5), NOW);

        assertEquals(Map.of("v1", "{\"endOf\":1,\"level\":12.5,\"at\":1000000.0}"), table("limits"));
    }

    @Test void anUnsafeRequestIsStoredWithItsOutcome() throws Exception {
        ledger.outcomes().recordIntent("a/1/1", NOW, 1_000, fault -> assertNull(fault));
        ledger.outcomes().recordOutcome("a/1/2", "stored", NOW, 1_000, fault -> assertNull(fault));

        assertEquals(Map.of("a/1/1", "{\"epoch\":1}", "a/1/2", "{\"epoch\":1,\"outcome\":\"stored\"}"),
            table("ingests"));
    }

    @Test void theEndpointListIsStoredUnderItsOlderNamesAndReadBack() throws Exception {
        List<ResolvedEndpoint> endpoints = List.of(endpoint("n1", "z1", EndpointState.HEALTHY, 7.5),
            endpoint("n2", null, EndpointState.DRAINING, 0), endpoint("n3", "z2", EndpointState.REMOVED, 0));

        ledger.endpoints().received(endpoints, NOW);

        assertEquals(Map.of("list", "{\"at\":1000000.0,\"members\":["
            + "{\"node\":\"n1\",\"zone\":\"z1\",\"cell\":3,\"phase\":\"HEALTHY\",\"born\":7.5," + ADDRESS + "},"
            + "{\"node\":\"n2\",\"zone\":null,\"cell\":3,\"phase\":\"DRAINING\",\"born\":0.0," + ADDRESS + "},"
            + "{\"node\":\"n3\",\"zone\":\"z2\",\"cell\":3,\"phase\":\"GONE\",\"born\":0.0," + ADDRESS + "}"
            + "]}"), table("nodes"));
        EndpointRecords.Saved saved = ledger.endpoints().read();
        assertEquals(NOW, saved.at());
        assertEquals(endpoints, saved.members());
    }

    private static ResolvedEndpoint endpoint(String node, String zone, EndpointState state, double startedAt) {
        return new ResolvedEndpoint(new Endpoint(node, zone, 3, state, startedAt), new InetSocketAddress("10.0.0.1", 80));
    }

    @Test void anUnchangedListIsWrittenAgainOnlyAfterTheRefreshInterval() throws Exception {
        EndpointRecords records = ledger.endpoints();
        List<ResolvedEndpoint> endpoints = new ArrayList<>(List.of(endpoint("n1", "z1", EndpointState.HEALTHY, 0)));
        records.received(endpoints, NOW);

        records.received(endpoints, NOW + 4_999);
        assertEquals(NOW, records.read().at());

        records.received(endpoints, NOW + 5_000);
        assertEquals(NOW + 5_000, records.read().at());
    }
}
