package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import kelphollow.program.FakeObjectServer.Fault;
import kelphollow.program.FakeObjectServer.Fault.Kind;
import kelphollow.program.FakeObjectStore.Stored;
import kelphollow.routing.Invariant;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A gateway with a store is killed and restarted. Guards against parts and completions that are sent twice because the new
 * process does not know what the old one had sent: it must answer from the store or query the server first.
 */
@org.junit.jupiter.api.Timeout(30)
class StoreRestartTest {
    private static final byte[] CONTENT = "0123456789".getBytes();
    private static final byte[] LIST = "<CompleteMultipartUpload/>".getBytes();
    private static final int SETTLED_MS = 28_100;
    @TempDir
    Path folder;
    private int restarts;
    private FakeObjectServer server;
    private ServerHarness harness;
    private HttpTestClient client;

    @BeforeEach void start() throws Exception {
        server = new FakeObjectServer();
        begin();
    }

    private Map<String, Object> store() {
        return Map.of("folders", List.of(folder.resolve(restarts + "a").toString(), folder.resolve(restarts + "b")
            .toString()));
    }

    private void begin() throws Exception {
        Map<String, Object> objects = new HashMap<>(ServerHarness.section(ServerHarness.example(), "objects"));
        objects.put("shards", 1.0);
        harness = ServerHarness.objects(Map.of("objects", objects, "store", store()), server.address());
        client = new HttpTestClient(harness.address);
    }

    /** Kills once the store's writer has written its queue, since an answer does not wait for its outcome record. */
    private void kill() throws Exception {
        harness.awaitStoreWrites();
        killWithoutAwaitingWrites();
    }

    /** Simulates a kill: data handed to the operating system survives, so the next process opens copies of the folders. */
    private void killWithoutAwaitingWrites() throws Exception {
        client.close();
        for (String side : new String[] {"a", "b"}) {
            Path from = folder.resolve(restarts + side);
            Path to = folder.resolve(restarts + 1 + side);
            Files.createDirectories(to);
            try (var files = Files.list(from)) {
                for (Path file : files.toList()) {
                    Files.copy(file, to.resolve(file.getFileName()));
                }
            }
        }
        restarts++;
        harness.close();
        begin();
    }

    @AfterEach void stop() throws Exception {
        client.close();
        harness.close();
        server.close();
        assertEquals(0, Invariant.broken());
    }

    private String upload() throws Exception {
        String answer = client.call("POST /symbols/m?uploads", "", null).text();
        String id = answer.replaceAll(".*<UploadId>(.*)</UploadId>.*", "$1");
        server.seen.clear();
        return id;
    }

    private static String part(String id, int n) {
        return "PUT /symbols/m?partNumber=" + n + "&uploadId=" + id;
    }

    /** Waits for the fake server's thread to reach this condition. */
    private static void await(java.util.function.BooleanSupplier done) throws InterruptedException {
        for (int i = 0; i < 5_000 && !done.getAsBoolean(); i++) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertTrue(done.getAsBoolean());
    }

    /** Calls on a new connection, since one whose request body was not read is closed after its response. */
    private HttpTestClient.Response callOnNewConnection(String line, byte[] body) throws IOException {
        try (HttpTestClient other = new HttpTestClient(harness.address)) {
            return other.call(line, "", body);
        }
    }

    @Test void aPartSentAgainAfterAKillIsAnsweredFromTheStore() throws Exception {
        String id = upload();
        HttpTestClient.Response first = client.call(part(id, 1), "", CONTENT);
        kill();
        server.seen.clear();
        HttpTestClient.Response again = client.call(part(id, 1), "", CONTENT);
        assertEquals(200, again.status());
        assertEquals(first.headers().get("ETag"), again.headers().get("ETag"));
        assertEquals(409, client.call(part(id, 1), "", "other".getBytes()).status());
        assertTrue(server.seen.isEmpty(), "no request reached the server");
        assertEquals(Map.of(id + "#1", 1), server.partWrites);
    }

    /** Guards against a body forwarded before the intent is durable, when head and body arrive in one read. */
    @Test void aBodyThatArrivesWithItsHeadWaitsForTheIntent() throws Exception {
        String id = upload();
        assertEquals(200, client.callInOneWrite(part(id, 1), CONTENT).status());
        assertEquals(200, client.callInOneWrite("POST /symbols/m?uploadId=" + id, LIST).status());
        assertArrayEquals(CONTENT, server.objects.get("/symbols/m").bytes());
    }

    /** The complete record of an upload proves that a part was never sent, so it is sent without a query. */
    @Test void aPartThatWasNeverSentIsSentWithoutAQueryAfterAKill() throws Exception {
        String id = upload();
        client.call(part(id, 1), "", CONTENT);
        kill();
        server.seen.clear();
        assertEquals(200, client.call(part(id, 2), "", CONTENT).status());
        assertEquals(List.of(part(id, 2) + " HTTP/1.1"), List.copyOf(server.seen));
    }

    @Test void aPartThatWasInFlightAtAKillIsQueriedBeforeItIsSent() throws Exception {
        String id = upload();
        Fault hold = Fault.of("PUT", Kind.HOLD);
        server.faults.add(hold);
        client.send(part(id, 1), "", CONTENT);
        server.held.take();
        kill();
        server.seen.clear();
        assertEquals(503, client.call(part(id, 1), "", CONTENT).status(), "the attempt may still be running");
        assertEquals("GET", server.seen.take().substring(0, 3));
        hold.gate().countDown();
        harness.ticker.advance(SETTLED_MS);
        await(() -> server.partWrites.containsKey(id + "#1"));
        HttpTestClient.Response again = callOnNewConnection(part(id, 1), CONTENT);
        assertEquals(200, again.status());
        assertEquals(Map.of(id + "#1", 1), server.partWrites);
    }

    @Test void aPartStillMissingAfterItsDeadlineIsSent() throws Exception {
        String id = upload();
        Fault lost = Fault.of("PUT", Kind.HOLD);
        server.faults.add(lost);
        client.send(part(id, 1), "", CONTENT);
        server.held.take();
        server.seen.clear();
        kill();
        harness.ticker.advance(SETTLED_MS);
        assertEquals(200, callOnNewConnection(part(id, 1), CONTENT).status());
        assertEquals("GET", server.seen.take().substring(0, 3));
        assertEquals("PUT", server.seen.take().substring(0, 3));
        assertEquals(Map.of(id + "#1", 1), server.partWrites);
    }

    @Test void aCompletionSentAgainAfterAKillIsAnsweredFromTheStore() throws Exception {
        String id = upload();
        client.call(part(id, 1), "", CONTENT);
        String line = "POST /symbols/m?uploadId=" + id;
        HttpTestClient.Response first = client.call(line, "", LIST);
        assertEquals(200, first.status());
        kill();
        server.seen.clear();
        HttpTestClient.Response again = client.call(line, "", LIST);
        assertEquals(200, again.status());
        assertEquals(first.text(), again.text());
        assertEquals(404, client.call(line, "", "<other/>".getBytes()).status());
        assertTrue(server.seen.isEmpty(), "no request reached the server");
    }

    @Test void aCompletionThatWasInFlightAtAKillIsQueriedFirst() throws Exception {
        String id = upload();
        client.call(part(id, 1), "", CONTENT);
        String line = "POST /symbols/m?uploadId=" + id;
        server.seen.clear();
        Fault hold = Fault.of("POST", Kind.HOLD);
        server.faults.add(hold);
        client.send(line, "", LIST);
        server.held.take();
        kill();
        server.seen.clear();
        assertEquals(503, client.call(line, "", LIST).status(), "the attempt may still be running");
        hold.gate().countDown();
        server.seen.clear();
        harness.ticker.advance(SETTLED_MS);
        await(() -> server.objects.containsKey("/symbols/m"));
        assertEquals(404, callOnNewConnection(line, LIST).status(), "the upload is gone: it was completed");
        assertTrue(server.seen.stream().noneMatch(l -> l.startsWith("POST")), server.seen.toString());
        assertArrayEquals(CONTENT, server.objects.get("/symbols/m").bytes());
    }

    @Test void aCompletionOfUnknownOutcomeIsQueriedBeforeItIsSentAgain() throws Exception {
        String id = upload();
        client.call(part(id, 1), "", CONTENT);
        String line = "POST /symbols/m?uploadId=" + id;
        server.faults.add(Fault.of("POST", Kind.CRASH_BEFORE));
        assertEquals(502, client.call(line, "", LIST).status());
        harness.ticker.advance(SETTLED_MS);
        server.seen.clear();
        assertEquals(200, callOnNewConnection(line, LIST).status());
        assertEquals("GET", server.seen.take().substring(0, 3));
        assertEquals("POST", server.seen.take().substring(0, 4));
    }

    @Test void anAbortedUploadLeavesNothingBehind() throws Exception {
        String id = upload();
        client.call(part(id, 1), "", CONTENT);
        harness.awaitStoreWrites();
        assertEquals(204, client.call("DELETE /symbols/m?uploadId=" + id, "", null).status());
        killWithoutAwaitingWrites();
        assertEquals(404, client.call(part(id, 1), "", CONTENT).status());
    }

    @Test void aSecondProgramOnTheFoldersIsRejectedWithTheKey() {
        ConfigurationException thrown = assertThrows(ConfigurationException.class,
            () -> ServerHarness.objects(Map.of("store", store()), server.address()));
        assertTrue(thrown.getMessage().startsWith("store.folders: "), thrown.getMessage());
        assertTrue(thrown.getMessage().endsWith("is held by a running program"), thrown.getMessage());
    }

    @Test void errorsOfInvalidValuesNameTheKey() throws Exception {
        Files.writeString(folder.resolve("file"), "somebody's");
        Files.createDirectories(folder.resolve("full"));
        Files.writeString(folder.resolve("full/other.db"), "somebody's");
        String a = folder.resolve("x").toString();
        Object[][] faults = {{Map.of("folders", List.of(a)), "store.folders must be"},
            {Map.of("folders", List.of(a, a)), "store.folders[1] is the same"},
            {Map.of("folders", List.of(a, 7.0)), "store.folders[1] is not a string"},
            {Map.of("folders", List.of(a, a + "b"), "segment_bytes", 1.0), "store.segment_bytes"},
            {Map.of("folders", List.of(a, a + "b"), "segmentbytes", 1.0), "store.segmentbytes is not known"},
            {Map.of("folders", List.of(a, a + "b"), "scrub_hours", -1.0), "store.scrub_hours"},
            {Map.of("folders", List.of(a, a + "b"), "check_all", "yes"), "store.check_all"},
            {Map.of("folders", List.of(a, folder.resolve("file").toString())), "store.folders: "},
            {Map.of("folders", List.of(a, folder.resolve("full").toString())), "store.folders: "}};
        for (Object[] fault : faults) {
            ConfigurationException thrown = assertThrows(ConfigurationException.class,
                () -> ServerHarness.objects(Map.of("store", fault[0]), server.address()), (String) fault[1]);
            assertTrue(thrown.getMessage().startsWith((String) fault[1]), thrown.getMessage());
        }
        assertEquals("somebody's", Files.readString(folder.resolve("full/other.db")));
        try (var files = Files.list(folder.resolve("full"))) {
            assertEquals(1, files.count(), "no file was added");
        }
    }

    // ---------------------------------------------------------------- endpoint list

    private ServerHarness gatewayWithXds(InetSocketAddress xds) throws Exception {
        Map<String, Object> objects = new HashMap<>(ServerHarness.section(ServerHarness.example(), "objects"));
        objects.put("shards", 1.0);
        return ServerHarness.objects(Map.of("objects", objects, "store", store(), "xds",
            Map.of("cluster", "dump-store", "server", "127.0.0.1:" + xds.getPort())), server.address());
    }

    @Test void aStartWithoutTheControlPlaneUsesTheLastStoredList() throws Exception {
        client.close();
        harness.close();
        restarts++;
        server.objects.put("/symbols/a", new Stored(CONTENT, "\"e\""));
        com.sun.net.httpserver.HttpServer xds = com.sun.net.httpserver.HttpServer.create(
            new InetSocketAddress("127.0.0.1", 0), 0);
        xds.createContext("/", exchange -> {
            boolean clusters = exchange.getRequestURI().getPath().endsWith("clusters");
            byte[] body = ("{\"version_info\":\"1\",\"resources\":[" + (clusters
                ? "{\"@type\":\"type.googleapis.com/envoy.config.cluster.v3.Cluster\",\"name\":\"dump-store\","
                    + "\"type\":\"EDS\","
                    + "\"eds_cluster_config\":{\"service_name\":\"dump-store-endpoints\"}}"
                : ServerHarness.assignment("HEALTHY", server.address())) + "]}").getBytes();
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        xds.start();
        harness = gatewayWithXds(xds.getAddress());
        client = new HttpTestClient(harness.address);
        for (int i = 0; i < 500 && client.call("GET /symbols/a", "", null).status() != 200; i++) {
            harness.ticker.advance(10);
        }
        InetSocketAddress stopped = xds.getAddress();
        xds.stop(0);
        harness.end();
        harness.close();
        client.close();
        harness = gatewayWithXds(stopped);
        client = new HttpTestClient(harness.address);
        assertArrayEquals(CONTENT, client.call("GET /symbols/a", "", null).body());
    }
}
